package org.cranberrybend.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.wire.generated.Envelope;

/**
 * One TCP connection to a peer, opened by either side. Sends keep-alives, enforces the receive timeout and bounds the
 * bytes that wait to be written.
 */
final class PeerChannel extends SimpleChannelInboundHandler<Envelope> {
    /** A connection that carries only keep-alives is closed after this many, one minute at an interval of 3 s. */
    private static final int MAX_CONSECUTIVE_KEEP_ALIVES = 20;

    private final PeerTransportSettings settings;
    private final TransportMetrics metrics;
    private final Listener listener;
    private final AtomicLong bufferedBytes = new AtomicLong();
    private final AtomicLong receivedFrames = new AtomicLong();
    private final LinkPacer pacer;
    private volatile Channel channel;

    /** Member identifier of the peer; empty until its first frame is received. */
    private volatile String sender = "";

    private volatile int consecutiveKeepAlives;
    private volatile boolean receiveTimedOut;

    /** Receives the events of a connection on its event loop, and supplies keep-alive frames. */
    interface Listener {
        void onFrame(PeerChannel source, Envelope frame);

        void onClosed(PeerChannel source);

        Envelope keepAlive();

        /** Returns whether the peer is in another region. */
        boolean usesInterRegionLink(PeerChannel source);
    }

    PeerChannel(PeerTransportSettings settings, TransportMetrics metrics, LinkPacer pacer, Listener listener) {
        super(Envelope.class);
        this.settings = settings;
        this.metrics = metrics;
        this.pacer = pacer;
        this.listener = listener;
    }

    void install(Channel target) {
        channel = target;
        ChannelPipeline pipeline = target.pipeline();
        int prefix = TransportMetrics.PREFIX_BYTES;
        pipeline.addLast(
                new IdleStateHandler(
                        settings.receiveTimeoutMs(), settings.keepAliveIntervalMs(), 0, TimeUnit.MILLISECONDS),
                new LengthFieldBasedFrameDecoder(settings.maxFrameBytes(), 0, prefix, 0, prefix),
                new LengthFieldPrepender(prefix),
                new ProtobufDecoder(Envelope.getDefaultInstance()),
                new ProtobufEncoder(),
                this);
    }

    /** Writes a frame; returns false if it was dropped. Thread-safe. */
    boolean write(Envelope frame) {
        int lengthBytes = frame.getSerializedSize();
        if (lengthBytes > settings.maxFrameBytes()) {
            metrics.recordDropped(DropReason.INVALID);
            return false;
        }
        if (bufferedBytes.addAndGet(lengthBytes) > settings.maxBufferedBytes()) {
            bufferedBytes.addAndGet(-lengthBytes);
            metrics.recordDropped(DropReason.BUFFER_FULL);
            return false;
        }
        if (frame.getBodyCase() != Envelope.BodyCase.BODY_NOT_SET) {
            consecutiveKeepAlives = 0;
        }
        boolean usesInterRegionLink = listener.usesInterRegionLink(this);
        Runnable write = () -> writeNow(frame, lengthBytes, usesInterRegionLink);
        if (!usesInterRegionLink || !LinkPurpose.isCapped(frame.getBodyCase())) {
            write.run();
        } else if (pacer.submit(lengthBytes + TransportMetrics.PREFIX_BYTES, write)) {
            metrics.recordDelayedForLink(frame);
        }
        return true;
    }

    private void writeNow(Envelope frame, int lengthBytes, boolean usesInterRegionLink) {
        channel.writeAndFlush(frame).addListener((ChannelFutureListener) written -> {
            bufferedBytes.addAndGet(-lengthBytes);
            if (!written.isSuccess()) {
                metrics.recordDropped(DropReason.NO_CONNECTION);
                return;
            }
            metrics.recordSent(frame);
            if (usesInterRegionLink) {
                metrics.recordSentToOtherRegion(frame);
            }
        });
    }

    /** Returns the member identifier of the peer; empty until its first frame is received. */
    String sender() {
        return sender;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Returns the number of received frames, by which a request detects that the peer has sent nothing since. */
    long receivedFrames() {
        return receivedFrames.get();
    }

    /** Returns whether the receive timeout expired while the connection carried more than keep-alives. */
    boolean wasUnresponsiveInUse() {
        return receiveTimedOut && consecutiveKeepAlives < MAX_CONSECUTIVE_KEEP_ALIVES;
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope frame) {
        receivedFrames.incrementAndGet();
        sender = frame.getSender();
        metrics.recordReceived(frame);
        if (listener.usesInterRegionLink(this)) {
            metrics.recordReceivedFromOtherRegion(frame);
        }
        listener.onFrame(this, frame);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent)) {
            context.fireUserEventTriggered(event);
        } else if (((IdleStateEvent) event).state() == IdleState.READER_IDLE) {
            receiveTimedOut = true;
            metrics.recordReceiveTimeout();
            context.close();
        } else if (((IdleStateEvent) event).state() == IdleState.WRITER_IDLE) {
            if (++consecutiveKeepAlives > MAX_CONSECUTIVE_KEEP_ALIVES) {
                context.close();
            } else {
                write(listener.keepAlive());
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            metrics.recordDropped(DropReason.INVALID);
        }
        context.close();
    }
}
