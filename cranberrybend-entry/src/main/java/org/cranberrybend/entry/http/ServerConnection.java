package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.message.BasicHeader;

/**
 * One connection of a caller. Requests are received completely and answered one at a time. The connection is also read
 * while a response is in progress, so that a disconnect of the caller is detected at once.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements ServerExchange {
    /** Pipelined input from which reading is suspended until the response in progress ends. */
    private static final int MAX_PIPELINED_BYTES = 256 * 1024;
    /** Time for a caller to read the last response before the connection is closed. */
    private static final long CLOSE_LINGER_MS = 1_000;

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum Phase {
        IDLE,
        READING_HEAD,
        READING_BODY,
        RESPONDING,
        CLOSING
    }

    private final HttpServer server;
    private final MessageReader<HttpRequest> reader;
    private ChannelHandlerContext context;
    private Phase phase = Phase.IDLE;
    private long phaseStartMs;
    private HttpRequest request;
    private long requestReceivedMs;
    private ByteArrayOutputStream body;
    private long reservedBodyBytes;
    private boolean keepAlive;
    private boolean chunkedResponse;
    private boolean responseBegun;
    private Runnable disconnectListener;
    private Runnable writableListener;

    ServerConnection(HttpServer server) {
        this.server = server;
        this.reader = new MessageReader<>(
                new DefaultHttpRequestParser<>(
                        MessageReader.config(server.limits().maxHeadLineBytes()), DefaultHttpRequestFactory.INSTANCE),
                MessageReader.config(server.limits().maxHeadLineBytes()));
        this.phaseStartMs = server.nowMs();
    }

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        context = channelContext;
        server.addConnection(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        handleDisconnect();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        channelContext.close();
        handleDisconnect();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext channelContext) {
        if (isOpen() && channelContext.channel().isWritable() && writableListener != null) {
            writableListener.run();
        }
    }

    private void handleDisconnect() {
        boolean responding = phase == Phase.RESPONDING;
        phase = Phase.CLOSING;
        server.removeConnection(this);
        releaseBody();
        if (responding && disconnectListener != null) {
            Runnable listener = disconnectListener;
            disconnectListener = null;
            listener.run();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf received = (ByteBuf) message;
        try {
            if (phase == Phase.CLOSING) {
                return;
            }
            reader.append(received);
        } finally {
            received.release();
        }
        if (phase == Phase.RESPONDING && reader.unreadBytes() > MAX_PIPELINED_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    /**
     * Processes the input in a separate task. Netty reports the end of the connection only after this call, and a
     * request whose caller has disconnected must not be handled.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext channelContext) {
        if (phase != Phase.RESPONDING && phase != Phase.CLOSING) {
            channelContext.executor().execute(this::process);
        }
    }

    private void process() {
        try {
            while (phase != Phase.RESPONDING
                    && phase != Phase.CLOSING
                    && context.channel().isActive()) {
                if (!advance()) {
                    return;
                }
            }
        } catch (MessageConstraintException e) {
            refuse(431, "Request Header Fields Too Large");
        } catch (HttpException | IOException e) {
            refuse(400, "Bad Request");
        } catch (RuntimeException e) {
            failUnexpectedly(e);
        }
    }

    /** Ends the request in progress after an unexpected error, so that its caller does not wait for a response. */
    private void failUnexpectedly(RuntimeException cause) {
        server.recordFailure(request == null ? "unread request" : request.getRequestUri(), cause);
        if (disconnectListener != null) {
            Runnable listener = disconnectListener;
            disconnectListener = null;
            listener.run();
        }
        if (phase == Phase.RESPONDING && responseBegun) {
            abort();
            return;
        }
        keepAlive = false;
        enterPhase(Phase.RESPONDING);
        respond(500, "Internal Server Error", List.of(), new byte[0]);
    }

    private boolean advance() throws HttpException, IOException {
        if (phase == Phase.IDLE) {
            if (reader.unreadBytes() == 0) {
                return false;
            }
            request = null;
            enterPhase(Phase.READING_HEAD);
        }
        if (phase == Phase.READING_HEAD) {
            request = reader.readHead();
            return request != null && beginBody();
        }
        return readBody();
    }

    private boolean beginBody() throws HttpException {
        requestReceivedMs = server.nowMs();
        keepAlive = !HeaderRules.announcesClose(request)
                && (request.getVersion() == null || request.getVersion().greaterEquals(HttpVersion.HTTP_1_1));
        long length = bodyLength();
        if (length > server.limits().maxBodyBytes()) {
            refuse(413, "Content Too Large");
            return false;
        }
        body = new ByteArrayOutputStream(length > 0 ? (int) length : 0);
        if (length > 0 && !reserveMemory(length)) {
            return false;
        }
        reader.beginBody(length);
        enterPhase(Phase.READING_BODY);
        Header expect = request.getFirstHeader(HttpHeaders.EXPECT);
        if (expect != null && length != 0) {
            context.writeAndFlush(HeadFormatter.response(100, "Continue", List.of()));
        }
        return true;
    }

    /** Returns the length of the body; rejects framing that parsers could interpret differently (request smuggling). */
    private long bodyLength() throws HttpException {
        int codings = request.countHeaders(HttpHeaders.TRANSFER_ENCODING);
        int lengths = request.countHeaders(HttpHeaders.CONTENT_LENGTH);
        if (!HeaderRules.areWellFormed(request) || codings + lengths > 1) {
            throw new HttpException("ambiguous or malformed headers");
        }
        if (codings + lengths == 0) {
            return 0;
        }
        if (codings == 1
                && !request.getFirstHeader(HttpHeaders.TRANSFER_ENCODING)
                        .getValue()
                        .trim()
                        .equalsIgnoreCase("chunked")) {
            throw new HttpException("unknown transfer coding");
        }
        long length = DefaultContentLengthStrategy.INSTANCE.determineLength(request);
        if (length < 0 && length != ContentLengthStrategy.CHUNKED) {
            throw new HttpException("undefined length of the body");
        }
        return length;
    }

    private boolean reserveMemory(long bytes) {
        if (!server.bodyMemory().tryAcquire(bytes)) {
            refuse(503, "Service Unavailable");
            return false;
        }
        reservedBodyBytes += bytes;
        return true;
    }

    private boolean readBody() throws IOException {
        ByteBuffer piece = reader.readBody();
        int count = piece.remaining();
        if (body.size() + (long) count > server.limits().maxBodyBytes()) {
            refuse(413, "Content Too Large");
            return false;
        }
        if (body.size() + count > reservedBodyBytes && !reserveMemory(body.size() + count - reservedBodyBytes)) {
            return false;
        }
        body.write(piece.array(), piece.position(), count);
        if (!reader.isBodyComplete()) {
            return count > 0;
        }
        ReceivedRequest received = new ReceivedRequest(request, body.toByteArray(), requestReceivedMs);
        body = null;
        responseBegun = false;
        enterPhase(Phase.RESPONDING);
        server.handler().handle(received, this);
        return true;
    }

    /** Refuses a request that was not received completely, and closes the connection after the response. */
    private void refuse(int status, String reason) {
        keepAlive = false;
        server.handler().onRefused(Optional.ofNullable(request), status, reason);
        enterPhase(Phase.RESPONDING);
        respond(status, reason, List.of(), new byte[0]);
    }

    private void enterPhase(Phase next) {
        phase = next;
        phaseStartMs = server.nowMs();
    }

    private void releaseBody() {
        server.bodyMemory().release(reservedBodyBytes);
        reservedBodyBytes = 0;
        body = null;
    }

    @Override
    public void onCallerDisconnected(Runnable listener) {
        disconnectListener = listener;
    }

    @Override
    public void onWritable(Runnable listener) {
        writableListener = listener;
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    @Override
    public void respond(int status, String reason, List<Header> headers, byte[] content) {
        begin(status, reason, headers, content.length);
        if (content.length > 0) {
            write(Unpooled.wrappedBuffer(content));
        }
        end();
    }

    @Override
    public void begin(int status, String reason, List<Header> headers, long length) {
        if (!isOpen()) {
            return;
        }
        if (server.isDraining() || server.isClosing()) {
            keepAlive = false;
        }
        responseBegun = true;
        List<Header> all = new ArrayList<>(headers);
        chunkedResponse = length == CHUNKED;
        if (chunkedResponse) {
            all.add(new BasicHeader(HttpHeaders.TRANSFER_ENCODING, "chunked"));
        } else {
            all.add(new BasicHeader(HttpHeaders.CONTENT_LENGTH, length));
        }
        if (!keepAlive) {
            all.add(new BasicHeader(HttpHeaders.CONNECTION, "close"));
        }
        context.write(HeadFormatter.response(status, reason, all), context.voidPromise());
    }

    @Override
    public void write(ByteBuf piece) {
        if (!isOpen() || !piece.isReadable()) {
            piece.release();
            return;
        }
        if (chunkedResponse) {
            byte[] size = (Integer.toHexString(piece.readableBytes()) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            context.writeAndFlush(
                    Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(size), piece, Unpooled.wrappedBuffer(LINE_END)),
                    context.voidPromise());
        } else {
            context.write(piece, context.voidPromise());
        }
    }

    @Override
    public void end() {
        if (!isOpen()) {
            return;
        }
        disconnectListener = null;
        writableListener = null;
        releaseBody();
        if (chunkedResponse) {
            context.write(Unpooled.wrappedBuffer(LAST_CHUNK), context.voidPromise());
        }
        context.flush();
        if (!keepAlive || server.isClosing()) {
            closeAfterResponse();
            return;
        }
        enterPhase(Phase.IDLE);
        context.channel().config().setAutoRead(true);
        // A separate task, so that a sequence of pipelined requests does not deepen the call stack.
        if (reader.unreadBytes() > 0) {
            context.executor().execute(this::process);
        }
    }

    /**
     * Shuts down the output and leaves the caller time to close the connection. An immediate close with unread input
     * would reset the connection, and the caller could lose the response.
     */
    private void closeAfterResponse() {
        enterPhase(Phase.CLOSING);
        context.channel().config().setAutoRead(true);
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            ((io.netty.channel.socket.SocketChannel) context.channel()).shutdownOutput();
        });
        server.schedule(() -> context.close(), CLOSE_LINGER_MS);
    }

    @Override
    public void abort() {
        disconnectListener = null;
        phase = Phase.CLOSING;
        context.flush();
        context.close();
    }

    @Override
    public boolean isOpen() {
        return phase == Phase.RESPONDING && context.channel().isActive();
    }

    boolean isIdle() {
        return phase == Phase.IDLE && reader.unreadBytes() == 0;
    }

    boolean isIdleSince(long timeMs) {
        return isIdle() && phaseStartMs <= timeMs;
    }

    void closeIfIdle() {
        if (isIdle()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    void checkTimeouts(long nowMs) {
        long elapsedMs = nowMs - phaseStartMs;
        boolean reading = phase == Phase.READING_HEAD || phase == Phase.READING_BODY;
        if (phase == Phase.IDLE && elapsedMs > server.limits().idleTimeoutMs()
                || reading && elapsedMs > server.limits().receiveTimeoutMs()) {
            context.close();
        }
    }
}
