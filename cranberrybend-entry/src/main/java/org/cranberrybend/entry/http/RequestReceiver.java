package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.cranberrybend.entry.http.ConnectionMemory.Use;

/** Receives the requests of one connection, one at a time, within the limits on their size and on memory. */
final class RequestReceiver {
    /** How far the current request was received. */
    enum Stage {
        IDLE,
        HEAD,
        BODY,
        COMPLETE
    }

    private final HttpServer server;
    private final ConnectionMemory memory;
    private final MessageReader<HttpRequest> reader;
    private Stage stage = Stage.IDLE;
    private HttpRequest head;
    private long headReceivedMs;
    /** Declared length of the body, or a constant of {@link ContentLengthStrategy}. */
    private long bodyLength;
    /** Body of the current request; null if its receipt has not begun. */
    private BodyBuffer body;

    RequestReceiver(HttpServer server, ConnectionMemory memory) {
        this.server = server;
        this.memory = memory;
        int maxHeadBytes = server.limits().maxHeadLineBytes();
        Http1Config config = MessageReader.config(maxHeadBytes);
        this.reader = new MessageReader<>(
                () -> new DefaultHttpRequestParser<>(config, DefaultHttpRequestFactory.INSTANCE),
                config,
                LineRules.REQUEST,
                maxHeadBytes);
    }

    Stage stage() {
        return stage;
    }

    int unreadBytes() {
        return reader.unreadBytes();
    }

    /** Returns the head of the current request; null if it was not received. */
    HttpRequest head() {
        return head;
    }

    /** Returns the declared length of the current body, or a constant of {@link ContentLengthStrategy}. */
    long bodyLength() {
        return bodyLength;
    }

    /** Adds input; returns false, and adds nothing, if there is no memory for it. */
    boolean append(ByteBuf input) {
        if (!memory.resize(Use.INPUT, reader.inputBytesAfter(input.readableBytes()))) {
            return false;
        }
        reader.append(input);
        return true;
    }

    /** Advances by one step; returns false if the request is complete or more input is needed. */
    boolean advance() throws HttpException, IOException, RequestRefusedException {
        try {
            switch (stage) {
                case IDLE:
                    return beginHead();
                case HEAD:
                    return readHead();
                case BODY:
                    return readBody();
                default:
                    return false;
            }
        } finally {
            memory.resize(Use.INPUT, Math.min(memory.reservedBytes(Use.INPUT), reader.inputBytesAfter(0)));
        }
    }

    private boolean beginHead() {
        if (reader.unreadBytes() == 0) {
            return false;
        }
        head = null;
        stage = Stage.HEAD;
        return true;
    }

    private boolean readHead() throws HttpException, IOException, RequestRefusedException {
        head = reader.readHead();
        reserveHead();
        if (head == null) {
            return false;
        }
        headReceivedMs = server.nowMs();
        bodyLength = declaredLength();
        if (bodyLength > server.limits().maxBodyBytes()) {
            throw RequestRefusedException.bodyTooLarge();
        }
        body = new BodyBuffer(bodyLength);
        reader.beginBody(bodyLength);
        stage = Stage.BODY;
        return true;
    }

    /** Returns the length of the body; rejects framing that parsers could interpret differently (request smuggling). */
    private long declaredLength() throws HttpException {
        int codings = head.countHeaders(HttpHeaders.TRANSFER_ENCODING);
        int lengths = head.countHeaders(HttpHeaders.CONTENT_LENGTH);
        if (!HeaderRules.isRequestLineWellFormed(head) || !HeaderRules.areWellFormed(head) || codings + lengths > 1) {
            throw new HttpException("ambiguous or malformed head");
        }
        if (codings + lengths == 0) {
            return 0;
        }
        if (codings == 1
                && !head.getFirstHeader(HttpHeaders.TRANSFER_ENCODING)
                        .getValue()
                        .trim()
                        .equalsIgnoreCase("chunked")) {
            throw new HttpException("unknown transfer coding");
        }
        if (lengths == 1
                && !HeaderRules.isDigits(
                        head.getFirstHeader(HttpHeaders.CONTENT_LENGTH).getValue())) {
            throw new HttpException("length of the body is not a number");
        }
        long length = DefaultContentLengthStrategy.INSTANCE.determineLength(head);
        if (length < 0 && length != ContentLengthStrategy.CHUNKED) {
            throw new HttpException("undefined length of the body");
        }
        return length;
    }

    private void reserveHead() throws RequestRefusedException {
        if (!memory.resize(Use.HEAD, reader.headMemoryBytes())) {
            throw RequestRefusedException.memoryExhausted();
        }
    }

    private boolean readBody() throws IOException, RequestRefusedException {
        ByteBuffer target = body.target();
        if (target == null && bodyLength != 0) {
            if (reader.unreadBytes() == 0) {
                return false;
            }
            if (!memory.resize(Use.BODY, (long) body.capacity() + body.nextSegmentBytes())) {
                throw RequestRefusedException.memoryExhausted();
            }
            body.grow();
            target = body.target();
        }
        int count = reader.readBody(target == null ? ByteBuffer.allocate(1) : target);
        if (body.size() > server.limits().maxBodyBytes()) {
            throw RequestRefusedException.bodyTooLarge();
        }
        reserveHead();
        if (reader.isBodyComplete()) {
            stage = Stage.COMPLETE;
            return false;
        }
        return count > 0;
    }

    /** Returns the complete request; its memory stays reserved until {@link #release}. */
    ReceivedRequest take() {
        ReceivedRequest received = new ReceivedRequest(head, body.toArray(), headReceivedMs);
        body = null;
        return received;
    }

    /** Ends the current request and releases its memory; unread input belongs to the next one. */
    void release() {
        stage = Stage.IDLE;
        body = null;
        reader.releaseMessage();
        memory.resize(Use.HEAD, 0);
        memory.resize(Use.BODY, 0);
    }

    /** Discards the unread input. */
    void discardInput() {
        reader.discardInput();
        memory.resize(Use.INPUT, Math.min(memory.reservedBytes(Use.INPUT), reader.inputBytesAfter(0)));
    }
}
