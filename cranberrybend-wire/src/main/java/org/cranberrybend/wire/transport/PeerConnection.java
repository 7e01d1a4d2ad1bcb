package org.cranberrybend.wire.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.wire.generated.Envelope;

/**
 * The outbound connection to one peer address. It is opened on demand and replaced if it becomes unresponsive.
 *
 * <p>All state except the byte count is confined to one event loop. When a request times out on an unresponsive
 * channel, the channel is retired: new frames use a new channel, while the old one still delivers late replies until
 * its receive timeout expires.
 */
final class PeerConnection {
    private final String address;
    private final PeerTransportSettings settings;
    private final TransportMetrics metrics;
    private final LinkPacer pacer;
    private final PendingRequests pendingRequests;
    private final Owner owner;
    private final EventLoop loop;
    private final Queue<Envelope> waiting = new ArrayDeque<>();
    private final AtomicLong waitingBytes = new AtomicLong();
    private PeerChannel current;
    private PeerChannel retired;
    private boolean connecting;
    private boolean reconnectDelayed;
    private boolean stopped;

    /** Callbacks of a connection into the transport. */
    interface Owner extends PeerChannel.Listener {
        Envelope hello();

        /** Returns whether frames to an address use the inter-region link. */
        boolean usesInterRegionLinkTo(String address);
    }

    PeerConnection(
            String address,
            PeerTransportSettings settings,
            TransportMetrics metrics,
            LinkPacer pacer,
            PendingRequests pending,
            Owner owner,
            EventLoop loop) {
        this.address = address;
        this.settings = settings;
        this.metrics = metrics;
        this.pacer = pacer;
        this.pendingRequests = pending;
        this.owner = owner;
        this.loop = loop;
    }

    /** Sends a frame, opening the connection if necessary. Thread-safe and non-blocking. */
    void send(Envelope frame) {
        int lengthBytes = frame.getSerializedSize();
        if (waitingBytes.addAndGet(lengthBytes) > settings.maxBufferedBytes()) {
            waitingBytes.addAndGet(-lengthBytes);
            discard(frame, DropReason.BUFFER_FULL);
            return;
        }
        try {
            loop.execute(() -> enqueue(frame));
        } catch (RejectedExecutionException e) {
            waitingBytes.addAndGet(-lengthBytes);
            discard(frame, DropReason.NO_CONNECTION);
        }
    }

    private void enqueue(Envelope frame) {
        if (current != null && current.isOpen()) {
            waitingBytes.addAndGet(-frame.getSerializedSize());
            write(current, frame);
        } else if (stopped || reconnectDelayed) {
            waitingBytes.addAndGet(-frame.getSerializedSize());
            discard(frame, DropReason.NO_CONNECTION);
        } else {
            waiting.add(frame);
            connect();
        }
    }

    private void write(PeerChannel channel, Envelope frame) {
        boolean request = frame.getCorrelationId() != 0 && !frame.getResponse();
        if (request) {
            pendingRequests.bindChannel(frame.getCorrelationId(), channel);
        }
        if (!channel.write(frame) && request) {
            pendingRequests.fail(frame.getCorrelationId(), "the outbound buffer to " + address + " is full");
        }
    }

    private void discard(Envelope frame, DropReason reason) {
        metrics.recordDropped(reason);
        if (frame.getCorrelationId() != 0 && !frame.getResponse()) {
            pendingRequests.fail(frame.getCorrelationId(), "peer " + address + " cannot be reached: " + reason.label());
        }
    }

    private void connect() {
        if (connecting || stopped) {
            return;
        }
        connecting = true;
        PeerChannel channel = new PeerChannel(settings, metrics, pacer, new ChannelEvents());
        int colon = address.lastIndexOf(':');
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel target) {
                        channel.install(target);
                    }
                });
        try {
            bootstrap
                    .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
                    .addListener(result -> onConnected(channel, (ChannelFuture) result));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            onConnectFailed();
        }
    }

    private void onConnected(PeerChannel channel, ChannelFuture result) {
        if (!result.isSuccess()) {
            onConnectFailed();
            return;
        }
        connecting = false;
        if (stopped) {
            channel.close();
            return;
        }
        current = channel;
        channel.write(owner.hello());
        Envelope frame;
        while ((frame = waiting.poll()) != null) {
            waitingBytes.addAndGet(-frame.getSerializedSize());
            write(channel, frame);
        }
    }

    private void onConnectFailed() {
        connecting = false;
        discardWaiting();
        if (!stopped) {
            reconnectDelayed = true;
            loop.schedule(() -> reconnectDelayed = false, settings.reconnectDelayMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void discardWaiting() {
        Envelope frame;
        while ((frame = waiting.poll()) != null) {
            waitingBytes.addAndGet(-frame.getSerializedSize());
            discard(frame, DropReason.NO_CONNECTION);
        }
    }

    /** Replaces a channel on which a request timed out and no frame arrived since the request was written. */
    void retire(PeerChannel channel) {
        try {
            loop.execute(() -> {
                if (current != channel) {
                    return;
                }
                if (retired != null) {
                    retired.close();
                }
                retired = current;
                current = null;
            });
        } catch (RejectedExecutionException ignored) {
            // The transport is stopping; no more frames are sent.
        }
    }

    /** Closes the connection permanently. */
    void stop() {
        try {
            loop.execute(() -> {
                stopped = true;
                discardWaiting();
                closeIfOpen(current);
                closeIfOpen(retired);
            });
        } catch (RejectedExecutionException ignored) {
            // The event loop has terminated and closed all of its channels.
        }
    }

    private static void closeIfOpen(PeerChannel channel) {
        if (channel != null) {
            channel.close();
        }
    }

    private final class ChannelEvents implements PeerChannel.Listener {
        @Override
        public void onFrame(PeerChannel source, Envelope frame) {
            owner.onFrame(source, frame);
        }

        @Override
        public void onClosed(PeerChannel source) {
            owner.onClosed(source);
            if (source == retired) {
                retired = null;
            }
            if (source == current) {
                current = null;
                if (source.wasUnresponsiveInUse()) {
                    connect();
                }
            }
        }

        @Override
        public Envelope keepAlive() {
            return owner.keepAlive();
        }

        @Override
        public boolean usesInterRegionLink(PeerChannel source) {
            return owner.usesInterRegionLinkTo(address);
        }
    }
}
