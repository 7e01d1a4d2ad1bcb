package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.entry.http.ConnectionMemory.Use;
import org.cranberrybend.entry.http.RequestReceiver.Stage;

/**
 * One connection of a caller. Requests are received completely and answered one at a time. The connection is also read
 * while a response is in progress, so that a disconnect of the caller is detected at once.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements ServerExchange {
    /** Pipelined input from which reading is suspended until the response in progress ends. */
    private static final int MAX_PIPELINED_BYTES = 64 * 1024;
    /** Time for a caller to read the last response before the connection is closed. */
    private static final long CLOSE_LINGER_MS = 1_000;

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum Phase {
        IDLE,
        READING_HEAD,
        READING_BODY,
        /** The request is complete and is handled as soon as the input was read to its end. */
        RECEIVED,
        RESPONDING,
        CLOSING
    }

    private final HttpServer server;
    private final ConnectionMemory memory;
    private final RequestReceiver receiver;
    private ChannelHandlerContext context;
    private Phase phase = Phase.IDLE;
    private long phaseStartMs;
    /** Time of the last complete request, or of the opening of the connection. */
    private long lastRequestMs;

    private boolean keepAlive;
    private boolean chunkedResponse;
    private boolean responseBegun;
    private Runnable disconnectListener;
    private Runnable writableListener;

    ServerConnection(HttpServer server) {
        this.server = server;
        this.memory = new ConnectionMemory(server, this);
        this.receiver = new RequestReceiver(server, memory);
        this.phaseStartMs = server.nowMs();
        this.lastRequestMs = phaseStartMs;
    }

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        context = channelContext;
        if (!server.addConnection(this) || !memory.resize(Use.CONNECTION, ConnectionMemory.CONNECTION_BYTES)) {
            phase = Phase.CLOSING;
            channelContext.close();
        }
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
        reserveOutput();
        if (!channelContext.channel().isWritable()) {
            return;
        }
        if (isOpen() && writableListener != null) {
            writableListener.run();
        } else if (phase == Phase.IDLE) {
            resumeInput();
        }
    }

    private void handleDisconnect() {
        boolean responding = phase == Phase.RESPONDING;
        phase = Phase.CLOSING;
        server.removeConnection(this);
        receiver.release();
        receiver.discardInput();
        memory.releaseAll();
        if (responding && disconnectListener != null) {
            Runnable listener = disconnectListener;
            disconnectListener = null;
            listener.run();
        }
    }

    /**
     * Receives the input at once, so that what was read is either part of the request or accounted for as unread input,
     * before the next piece is read.
     */
    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf received = (ByteBuf) message;
        try {
            if (phase == Phase.CLOSING || isBusy() && !keepAlive) {
                return;
            }
            if (!receiver.append(received)) {
                refuseInput();
                return;
            }
        } finally {
            received.release();
        }
        receive();
        if ((isBusy() || !context.channel().isWritable()) && receiver.unreadBytes() > MAX_PIPELINED_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Ends the receipt of requests for lack of memory; a request that is in progress gets its response. */
    private void refuseInput() {
        if (isBusy()) {
            keepAlive = false;
            receiver.discardInput();
        } else {
            refuse(RequestRefusedException.memoryExhausted());
        }
    }

    private boolean isBusy() {
        return phase == Phase.RECEIVED || phase == Phase.RESPONDING;
    }

    /**
     * Handles a complete request in a separate task. Netty reports the end of the connection only after this call, and
     * a request whose caller has disconnected must not be handled.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext channelContext) {
        if (phase == Phase.RECEIVED) {
            channelContext.executor().execute(this::handleReceived);
        }
    }

    private void receive() {
        try {
            boolean advancing =
                    !isBusy() && phase != Phase.CLOSING && context.channel().isWritable();
            while (advancing) {
                advancing = receiver.advance();
                followStage();
            }
        } catch (RequestRefusedException e) {
            refuse(e);
        } catch (MessageConstraintException e) {
            refuse(RequestRefusedException.headTooLarge());
        } catch (HttpException | IOException e) {
            refuse(RequestRefusedException.malformed());
        } catch (RuntimeException e) {
            failUnexpectedly(e);
        }
    }

    private void followStage() {
        if (phase == Phase.IDLE && receiver.stage() == Stage.HEAD) {
            enterPhase(Phase.READING_HEAD);
        } else if (phase == Phase.READING_HEAD && receiver.stage() == Stage.BODY) {
            beginBody();
        } else if (phase == Phase.READING_BODY && receiver.stage() == Stage.COMPLETE) {
            enterPhase(Phase.RECEIVED);
        }
    }

    private void beginBody() {
        HttpRequest request = receiver.head();
        keepAlive = !HeaderRules.announcesClose(request)
                && (request.getVersion() == null || request.getVersion().greaterEquals(HttpVersion.HTTP_1_1));
        enterPhase(Phase.READING_BODY);
        if (receiver.bodyLength() != 0 && request.getFirstHeader(HttpHeaders.EXPECT) != null) {
            context.writeAndFlush(HeadFormatter.response(100, "Continue", List.of()));
        }
    }

    private void handleReceived() {
        if (phase != Phase.RECEIVED || !context.channel().isActive()) {
            return;
        }
        try {
            responseBegun = false;
            lastRequestMs = server.nowMs();
            enterPhase(Phase.RESPONDING);
            server.handler().handle(receiver.take(), this);
        } catch (RuntimeException e) {
            failUnexpectedly(e);
        }
    }

    /** Ends the request in progress after an unexpected error, so that its caller does not wait for a response. */
    private void failUnexpectedly(RuntimeException cause) {
        HttpRequest request = receiver.head();
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

    /** Refuses a request that was not received completely, and closes the connection after the response. */
    private void refuse(RequestRefusedException refusal) {
        keepAlive = false;
        server.recordRefusal(receiver.head(), refusal);
        enterPhase(Phase.RESPONDING);
        respond(refusal.status(), refusal.getMessage(), List.of(), new byte[0]);
        receiver.discardInput();
    }

    private void enterPhase(Phase next) {
        phase = next;
        phaseStartMs = server.nowMs();
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
            reserveOutput();
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
        receiver.release();
        if (chunkedResponse) {
            context.write(Unpooled.wrappedBuffer(LAST_CHUNK), context.voidPromise());
        }
        context.flush();
        reserveOutput();
        if (!isOpen()) {
            return;
        }
        if (!keepAlive || server.isClosing()) {
            closeAfterResponse();
            return;
        }
        enterPhase(Phase.IDLE);
        // A caller that does not read its responses gets no further ones.
        if (context.channel().isWritable()) {
            resumeInput();
        }
    }

    private void resumeInput() {
        context.channel().config().setAutoRead(true);
        // A separate task, so that a sequence of pipelined requests does not deepen the call stack.
        if (receiver.unreadBytes() > 0) {
            context.executor().execute(this::receivePipelined);
        }
    }

    private void receivePipelined() {
        receive();
        handleReceived();
    }

    /**
     * Accounts for the response that the caller has not read. Without memory for it the connection is closed: all of the
     * memory is then held by requests in progress.
     */
    private void reserveOutput() {
        ChannelOutboundBuffer unwritten = context.channel().unsafe().outboundBuffer();
        long bytes = unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
        if (!memory.resize(Use.OUTPUT, bytes)) {
            server.countUnreadResponse();
            context.close();
        }
    }

    /**
     * Shuts down the output and leaves the caller time to close the connection. An immediate close with unread input
     * would reset the connection, and the caller could lose the response.
     */
    private void closeAfterResponse() {
        enterPhase(Phase.CLOSING);
        receiver.discardInput();
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
        return phase == Phase.IDLE && receiver.unreadBytes() == 0;
    }

    boolean isIdleSince(long timeMs) {
        return isIdle() && phaseStartMs <= timeMs;
    }

    void closeIfIdle() {
        if (isIdle()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Returns whether the connection may be closed in favor of others: no request of it is in progress. */
    boolean isReclaimable() {
        return !isBusy();
    }

    /** Returns whether the connection holds a body or an unread response, and has done so since the given time. */
    boolean isSlowSince(long timeMs) {
        return phaseStartMs <= timeMs && memory.reservedBytes(Use.BODY) + memory.reservedBytes(Use.OUTPUT) > 0;
    }

    /** Returns the time of the last complete request, or of the opening of the connection. */
    long lastRequestMs() {
        return lastRequestMs;
    }

    /** Closes the connection at once and releases its memory. */
    void reclaim() {
        phase = Phase.CLOSING;
        context.close();
        handleDisconnect();
    }

    void checkTimeouts(long nowMs) {
        reserveOutput();
        long elapsedMs = nowMs - phaseStartMs;
        boolean reading = phase == Phase.READING_HEAD || phase == Phase.READING_BODY;
        if (phase == Phase.IDLE && elapsedMs > server.limits().idleTimeoutMs()
                || reading && elapsedMs > server.limits().receiveTimeoutMs()) {
            context.close();
        }
    }
}
