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
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.runtime.http.ResponseFraming;

/**
 * One connection to a server, with one request at a time.
 *
 * <p>Bytes after a complete response belong to no request and could be taken for the response to the next one. They
 * close the connection, as does a response that is complete before its request was written. A surplus response that
 * arrives after the next request was sent is recognized by the listener, which has it {@link #skipResponse() skipped}.
 *
 * <p>A response that is malformed in any line or in its framing fails as a whole: its body may be that of another one, or
 * a part of one.
 *
 * <p>A server may send bytes without end. Heads are therefore limited as a whole, including interim responses, and so
 * are skipped responses; the listener limits the bodies that it receives. It may also send them on many connections, so
 * that what is kept of all responses shares a {@link MessageMemoryLimit}.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEAD_LINE_BYTES = 64 * 1024;
    /** Largest number of bytes of the head of a response, interim responses included, and of its trailers. */
    private static final int MAX_HEAD_BYTES = 256 * 1024;
    /** Size up to which a response needs no share of the memory limit: small ones do not depend on others. */
    private static final int UNLIMITED_BYTES = 32 * 1024;
    /** Surplus responses that are skipped for one request. */
    private static final int MAX_SKIPPED_RESPONSES = 3;

    private static final int MAX_SKIPPED_BODY_BYTES = 1024 * 1024;
    private static final long UNKNOWN = -1;

    private final MessageMemoryLimit memory;
    private final Runnable onClosed;
    private final MessageReader<HttpResponse> reader = new MessageReader<>(
            new DefaultHttpResponseParser<>(
                    MessageReader.config(MAX_HEAD_LINE_BYTES), DefaultHttpResponseFactory.INSTANCE),
            MessageReader.config(MAX_HEAD_LINE_BYTES),
            LineRules.RESPONSE);
    private ChannelHandlerContext context;
    private ResponseListener listener;
    private HttpResponse head;
    private boolean headRequest;
    private boolean requestWritten;
    private boolean reusable;
    private boolean responseStarted;
    private boolean inputEnded;
    /** Whether the end of the connection marks the end of the current response. */
    private boolean delimitedByClose;
    /** Whether the current response belongs to no request and is read without being reported. */
    private boolean skipping;

    private int skippedResponses;
    private int skippedBodyBytes;
    /** Bytes of the head, interim responses included. */
    private int headBytes;
    /** Bytes received since the last piece of the body: the framing of a chunk, or trailers. */
    private int framingBytes;
    /** Bytes acquired from the memory limit for the current response. */
    private long acquiredBytes;

    private int requestCount;
    private long idleTimeoutMs = UNKNOWN;

    ClientConnection(MessageMemoryLimit memory, Runnable onClosed) {
        this.memory = memory;
        this.onClosed = onClosed;
    }

    /** Receives the response to one request. {@code onComplete} or {@code onFailure} is the last call. */
    public interface ResponseListener {
        /** The head of the response was received. */
        void onHead(HttpResponse head);

        /** A piece of the body was received; its buffer is not reused. */
        void onBody(ByteBuffer piece);

        /** Returns the number of bytes of the current response that the listener keeps. */
        int keptBytes();

        /** The response is complete; the connection can be reused if it is still {@link #isOpen() open}. */
        void onComplete();

        /**
         * The connection failed, or the response is malformed.
         *
         * @param responseStarted whether part of a response had been received
         */
        void onFailure(String cause, boolean responseStarted);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channelContext) {
        context = channelContext;
    }

    /** Sends a request; the body is framed by its length. */
    public void send(
            String method, String target, List<Header> headers, byte[] body, ResponseListener responseListener) {
        List<Header> all = new ArrayList<>(headers);
        if (body.length > 0 || !"GET".equals(method) && !"HEAD".equals(method) && !"DELETE".equals(method)) {
            all.add(new BasicHeader(HttpHeaders.CONTENT_LENGTH, body.length));
        }
        listener = responseListener;
        head = null;
        headRequest = "HEAD".equals(method);
        requestWritten = false;
        responseStarted = false;
        reusable = false;
        skipping = false;
        skippedResponses = 0;
        skippedBodyBytes = 0;
        headBytes = 0;
        framingBytes = 0;
        requestCount++;
        ByteBuf message;
        try {
            message = HeadFormatter.request(method, target, all);
        } catch (IllegalArgumentException e) {
            fail("request cannot be written: " + e.getMessage());
            return;
        }
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

    /** Returns the number of requests that were sent on this connection. */
    public int requestCount() {
        return requestCount;
    }

    /** Returns whether another request can be sent. */
    public boolean isOpen() {
        return context.channel().isActive() && !inputEnded;
    }

    /** Returns the idle timeout that the server announced, in milliseconds; negative if it announced none. */
    public long idleTimeoutMs() {
        return idleTimeoutMs;
    }

    /** Returns whether the current response ends with the connection, since it states no length. */
    public boolean isDelimitedByClose() {
        return delimitedByClose;
    }

    /**
     * Skips the response whose head was reported last, because it belongs to another request, and awaits the next one.
     * May only be called by {@link ResponseListener#onHead}.
     */
    public void skipResponse() {
        skipping = true;
        skippedResponses++;
    }

    /** Suspends or resumes reading; the server is slowed down by TCP flow control. */
    public void setReading(boolean reading) {
        context.channel().config().setAutoRead(reading);
    }

    /** Closes the connection without a further call to the listener. */
    public void close() {
        removeListener();
        context.close();
    }

    /** Closes the connection with a TCP reset, so that undelivered bytes are discarded; the listener is not called. */
    public void reset() {
        removeListener();
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
            responseStarted = true;
            if (head == null) {
                headBytes += received.readableBytes();
            } else {
                framingBytes += received.readableBytes();
            }
            reader.append(received);
        } finally {
            received.release();
        }
        process();
        if (listener != null && Math.max(headBytes, framingBytes) > MAX_HEAD_BYTES) {
            fail("head or trailers of the response exceed " + MAX_HEAD_BYTES + " bytes");
        }
        if (listener != null && !tryAcquireMemory()) {
            fail("memory for responses is used up");
        }
    }

    private boolean tryAcquireMemory() {
        long keptBytes = headBytes + framingBytes + listener.keptBytes();
        long neededBytes = Math.max(0, keptBytes - UNLIMITED_BYTES);
        if (neededBytes > acquiredBytes && !memory.tryAcquire(neededBytes - acquiredBytes)) {
            return false;
        }
        memory.release(Math.max(0, acquiredBytes - neededBytes));
        acquiredBytes = neededBytes;
        return true;
    }

    /** Returns the listener of the response, which has ended, and releases the memory of the response. */
    private ResponseListener removeListener() {
        ResponseListener removed = listener;
        listener = null;
        memory.release(acquiredBytes);
        acquiredBytes = 0;
        return removed;
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
            fail("malformed response: " + e.getClass().getSimpleName());
        }
    }

    private boolean readHead() throws HttpException, IOException {
        HttpResponse next = reader.readHead();
        if (next == null) {
            return false;
        }
        if (ResponseFraming.isInterim(next)) {
            return true;
        }
        long length = ResponseFraming.bodyLength(next, headRequest);
        head = next;
        framingBytes = reader.unreadBytes();
        headBytes -= framingBytes;
        delimitedByClose = length < 0 && length != ContentLengthStrategy.CHUNKED;
        reusable = !delimitedByClose
                && !HeaderRules.announcesClose(next)
                && (next.getVersion() == null || next.getVersion().greaterEquals(HttpVersion.HTTP_1_1));
        idleTimeoutMs = keepAliveTimeoutMs(next);
        reader.beginBody(length);
        listener.onHead(next);
        return true;
    }

    private static long keepAliveTimeoutMs(HttpResponse response) {
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

    private boolean readBody() throws HttpException, IOException {
        ByteBuffer piece = reader.readBody();
        boolean progress = piece.hasRemaining();
        if (progress) {
            framingBytes = reader.unreadBytes();
        }
        if (skipping) {
            return skipBody(piece.remaining()) || progress;
        }
        if (progress) {
            listener.onBody(piece);
        }
        if (listener != null && reader.isBodyComplete()) {
            if (delimitedByClose && !requestWritten) {
                // A server that still reads keeps its connection; one that was reset may look like one that has ended.
                throw new ConnectionClosedException("closed before the request was written");
            }
            complete();
            return false;
        }
        return progress;
    }

    /** Counts skipped bytes of a body; returns whether the skipped response is complete, so that the next may begin. */
    private boolean skipBody(int bytes) throws HttpException {
        skippedBodyBytes += bytes;
        if (skippedBodyBytes > MAX_SKIPPED_BODY_BYTES || skippedResponses > MAX_SKIPPED_RESPONSES) {
            throw new HttpException("too many bytes that belong to no request");
        }
        if (!reader.isBodyComplete()) {
            return false;
        }
        if (!reusable) {
            throw new HttpException("the connection ends with a response to another request");
        }
        skipping = false;
        head = null;
        headBytes = reader.unreadBytes();
        framingBytes = 0;
        return true;
    }

    private void complete() {
        ResponseListener completed = removeListener();
        setReading(true);
        if (!reusable || !requestWritten || reader.unreadBytes() > 0) {
            inputEnded = true;
            context.close();
        }
        completed.onComplete();
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
        ResponseListener failed = removeListener();
        inputEnded = true;
        context.close();
        failed.onFailure(cause, responseStarted);
    }
}
