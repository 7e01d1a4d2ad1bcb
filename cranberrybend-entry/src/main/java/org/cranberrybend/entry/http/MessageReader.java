package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;

/**
 * Reads the messages of one connection: a head, then the body with the framing that the head specifies.
 *
 * @param <T> type of the heads
 */
final class MessageReader<T extends HttpMessage> {
    private static final int MAX_HEADERS = 200;
    private static final int MAX_BODY_READ_BYTES = 16 * 1024;

    /** Signals the end of the input to the decoders; supplies no bytes, since these come from the buffer. */
    private final class EndOfInputChannel implements ReadableByteChannel {
        @Override
        public int read(ByteBuffer target) {
            return inputEnded ? -1 : 0;
        }

        @Override
        public boolean isOpen() {
            return !inputEnded;
        }

        @Override
        public void close() {
            inputEnded = true;
        }
    }

    private final ReceiveBuffer buffer;
    private final NHttpMessageParser<T> parser;
    private final EndOfInputChannel channel = new EndOfInputChannel();
    private final BasicHttpTransportMetrics transportMetrics = new BasicHttpTransportMetrics();
    private final Http1Config config;
    private boolean inputEnded;
    /** Decoder of the current body; null before the first one. */
    private ContentDecoder body;

    MessageReader(NHttpMessageParser<T> parser, Http1Config config) {
        this.parser = parser;
        this.config = config;
        this.buffer = new ReceiveBuffer(config.getMaxLineLength());
    }

    static Http1Config config(int maxHeadBytes) {
        return Http1Config.custom()
                .setMaxLineLength(maxHeadBytes)
                .setMaxHeaderCount(MAX_HEADERS)
                .build();
    }

    void append(ByteBuf source) {
        buffer.append(source);
    }

    void endInput() {
        inputEnded = true;
    }

    int unreadBytes() {
        return buffer.length();
    }

    /** Returns the next head, or null while it is incomplete, also at the end of the input. */
    T readHead() throws HttpException, IOException {
        // At the end of the input the parser would take the lines received so far for a head.
        T head = parser.parse(buffer, false);
        if (head != null) {
            parser.reset();
        }
        return head;
    }

    /** Begins a body of the given length, which may be a constant of {@link ContentLengthStrategy}. */
    void beginBody(long length) {
        if (length == ContentLengthStrategy.CHUNKED) {
            body = new ChunkDecoder(channel, buffer, config, transportMetrics);
        } else if (length >= 0) {
            body = new LengthDelimitedDecoder(channel, buffer, transportMetrics, length);
        } else {
            body = new IdentityDecoder(channel, buffer, transportMetrics);
        }
    }

    /** Returns the next piece of the body; empty if no more bytes of it are available. */
    ByteBuffer readBody() throws IOException {
        if (isBodyComplete()) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer piece = ByteBuffer.allocate(Math.max(1, Math.min(MAX_BODY_READ_BYTES, buffer.length())));
        int count = body.read(piece);
        while (count > 0 && piece.hasRemaining()) {
            count = body.read(piece);
        }
        return piece.flip();
    }

    /** Returns whether the body was read to its end. A body of length 0 is complete after the first read. */
    boolean isBodyComplete() {
        return body == null || body.isCompleted();
    }
}
