package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.message.BasicHeader;

/**
 * One connection to a server that answers one request at a time.
 *
 * <p>Bytes beyond a complete response belong to no request; they end the connection, as does a response that completes
 * before its request was written.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final long UNKNOWN = -1;

    private final Runnable onClosed;
    private final MessageReader<HttpResponse> reader = new MessageReader<>(
            new DefaultHttpResponseParser<>(MessageReader.config(MAX_HEAD_BYTES), DefaultHttpResponseFactory.INSTANCE),
            MessageReader.config(MAX_HEAD_BYTES));
    private ChannelHandlerContext context;
    private ResponseListener listener;
    private HttpResponse head;
    private boolean headRequest;
    private boolean requestWritten;
    private boolean reusable;
    private boolean anyResponseByte;
    private boolean inputEnded;
    private int uses;
    private long idleLimitMs = UNKNOWN;

    ClientConnection(Runnable onClosed) {
        this.onClosed = onClosed;
    }

    /** Receives the response to one request. After {@code onComplete} or {@code onFailure} nothing more is called. */
    public interface ResponseListener {
        /** Takes the head of the response. */
        void onHead(HttpResponse head);

        /** Takes a piece of the body; its bytes are not reused. */
        void onBody(ByteBuffer piece);

        /** The response is complete; the connection is idle again if it is still {@link #isOpen() open}. */
        void onComplete();

        /**
         * The connection failed, or the response cannot be understood.
         *
         * @param anyResponseByte whether part of a response had been received
         */
        void onFailure(String cause, boolean anyResponseByte);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channelContext) {
        context = channelContext;
    }

    /** Sends a request; the body is framed by its length. */
    public void send(String method, String target, List<Header> headers, byte[] body, ResponseListener responses) {
        List<Header> all = new ArrayList<>(headers);
        if (body.length > 0 || !"GET".equals(method) && !"HEAD".equals(method) && !"DELETE".equals(method)) {
            all.add(new BasicHeader(HttpHeaders.CONTENT_LENGTH, body.length));
        }
        listener = responses;
        head = null;
        headRequest = "HEAD".equals(method);
        requestWritten = false;
        anyResponseByte = false;
        reusable = false;
        uses++;
        ByteBuf message = HeadFormatter.request(method, target, all);
        if (body.length > 0) {
            message = Unpooled.wrappedBuffer(message, Unpooled.wrappedBuffer(body));
        }
        ChannelFuture written = context.writeAndFlush(message);
        written.addListener(done -> {
            requestWritten = done.isSuccess();
            if (!done.isSuccess()) {
                fail("request could not be written");
            }
        });
    }

    /** Returns how many requests were sent. */
    public int uses() {
        return uses;
    }

    /** Returns whether another request can be sent. */
    public boolean isOpen() {
        return context.channel().isActive() && !inputEnded;
    }

    /** Returns how long the server keeps an idle connection, in milliseconds; negative if it did not say. */
    public long idleLimitMs() {
        return idleLimitMs;
    }

    /** Closes the connection; the response in progress is not reported. */
    public void close() {
        listener = null;
        context.close();
    }

    /** Closes the connection with a reset, so that bytes that were not delivered yet are discarded. */
    public void reset() {
        listener = null;
        if (context.channel() instanceof SocketChannel) {
            ((SocketChannel) context.channel()).config().setSoLinger(0);
        }
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf received = (ByteBuf) message;
        try {
            if (listener == null) {
                context.close();
                return;
            }
            anyResponseByte = true;
            reader.append(received);
        } finally {
            received.release();
        }
        process();
    }

    private void process() {
        try {
            while (listener != null) {
                if (head == null) {
                    if (!readHead()) {
                        return;
                    }
                } else if (!readBody()) {
                    return;
                }
            }
        } catch (HttpException | IOException e) {
            fail("response is not valid: " + e.getClass().getSimpleName());
        }
    }

    private boolean readHead() throws HttpException, IOException {
        HttpResponse next = reader.readHead();
        if (next == null) {
            return false;
        }
        if (next.getCode() < 200) {
            return true;
        }
        if (!HeaderRules.areWellFormed(next) || next.countHeaders(HttpHeaders.CONTENT_LENGTH) > 1) {
            throw new HttpException("malformed headers");
        }
        head = next;
        long length = bodyLength(next);
        boolean framed = length >= 0 || length == ContentLengthStrategy.CHUNKED;
        reusable = framed
                && !HeaderRules.announcesClose(next)
                && (next.getVersion() == null || next.getVersion().greaterEquals(HttpVersion.HTTP_1_1));
        idleLimitMs = keepAliveMs(next);
        reader.beginBody(length);
        listener.onHead(next);
        return true;
    }

    private long bodyLength(HttpResponse response) throws HttpException {
        if (headRequest || response.getCode() == 204 || response.getCode() == 304) {
            return 0;
        }
        return DefaultContentLengthStrategy.INSTANCE.determineLength(response);
    }

    private static long keepAliveMs(HttpResponse response) {
        Header header = response.getFirstHeader(HttpHeaders.KEEP_ALIVE);
        if (header == null) {
            return UNKNOWN;
        }
        for (String parameter : header.getValue().split(",")) {
            String[] pair = parameter.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
                try {
                    return Long.parseLong(pair[1].trim()) * 1_000;
                } catch (NumberFormatException ignored) {
                    return UNKNOWN;
                }
            }
        }
        return UNKNOWN;
    }

    private boolean readBody() throws IOException {
        ByteBuffer piece = reader.readBody();
        boolean any = piece.hasRemaining();
        if (any) {
            listener.onBody(piece);
        }
        if (listener != null && reader.isBodyComplete()) {
            complete();
            return false;
        }
        return any;
    }

    private void complete() {
        ResponseListener finished = listener;
        listener = null;
        if (!reusable || !requestWritten || reader.unreadBytes() > 0) {
            inputEnded = true;
            context.close();
        }
        finished.onComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        inputEnded = true;
        if (listener != null && head != null) {
            reader.endInput();
            process();
        }
        fail("connection closed");
        onClosed.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        inputEnded = true;
        fail(cause instanceof IOException ? "connection reset" : cause.toString());
        channelContext.close();
    }

    private void fail(String cause) {
        if (listener == null) {
            return;
        }
        ResponseListener failed = listener;
        listener = null;
        inputEnded = true;
        context.close();
        failed.onFailure(cause, anyResponseByte);
    }
}
