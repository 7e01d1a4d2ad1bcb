package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.MessageConstraintException;
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
    private static final int LINE_END_BYTES = 2;
    /** Heap that the parser keeps for each line beside its characters: two objects and a list entry. */
    private static final int LINE_OVERHEAD_BYTES = 208;

    private static final int BYTES_PER_CHARACTER = 2;
    /** A parser keeps the buffer of its longest line; one that has read a longer head is replaced. */
    private static final int MAX_REUSED_HEAD_BYTES = 4 * 1024;

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
    private final Supplier<NHttpMessageParser<T>> parsers;
    private NHttpMessageParser<T> parser;
    private final EndOfInputChannel channel = new EndOfInputChannel();
    private final BasicHttpTransportMetrics transportMetrics = new BasicHttpTransportMetrics();
    private final Http1Config config;
    private boolean inputEnded;
    /** Decoder of the current body; null before the first one. */
    private ContentDecoder body;

    private final long maxHeadBytes;
    private boolean headComplete = true;
    private long headBytes;
    private long headLines;
    /** Bytes of chunk lines and trailers since the last byte of the body. */
    private long framingBytes;

    private long framingLines;
    /** Bytes of chunk lines or trailers that the decoder may keep. */
    private long keptFramingBytes;

    /** Creates a reader that limits the length of lines only. */
    MessageReader(NHttpMessageParser<T> parser, Http1Config config, LineRules rules) {
        this(() -> parser, config, rules, Long.MAX_VALUE);
    }

    /**
     * Creates a reader that limits heads as a whole, and the chunk lines and trailers between two bytes of a body.
     *
     * @param maxHeadBytes largest number of bytes, line ends not counted
     */
    MessageReader(Supplier<NHttpMessageParser<T>> parsers, Http1Config config, LineRules rules, long maxHeadBytes) {
        this.parsers = parsers;
        this.parser = parsers.get();
        this.config = config;
        this.buffer = new ReceiveBuffer(config.getMaxLineLength(), rules);
        this.maxHeadBytes = Math.max(maxHeadBytes, maxHeadBytes + LINE_END_BYTES * (MAX_HEADERS + 2L));
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

    /** Returns the capacity of the input buffer beyond its smallest one, after the given number of bytes was appended. */
    int inputBytesAfter(int added) {
        return buffer.capacityAfter(added) - ReceiveBuffer.INITIAL_BYTES;
    }

    /** Returns the heap that the current or last head and the framing of its body occupy, at most. */
    long headMemoryBytes() {
        return BYTES_PER_CHARACTER * (headBytes + keptFramingBytes) + LINE_OVERHEAD_BYTES * (headLines + framingLines);
    }

    /** Releases what was kept of the last message; the unread input stays. */
    void releaseMessage() {
        body = null;
        keptFramingBytes = 0;
        framingLines = 0;
        if (headBytes > MAX_REUSED_HEAD_BYTES || !headComplete) {
            parser = parsers.get();
            headComplete = true;
        }
        headBytes = 0;
        headLines = 0;
    }

    /** Discards the unread input. */
    void discardInput() {
        buffer.clear();
    }

    /** Returns the next head, or null while it is incomplete, also at the end of the input. */
    T readHead() throws HttpException, IOException {
        if (headComplete) {
            buffer.setReadingChunkLines(false);
            headComplete = false;
            headBytes = 0;
            headLines = 0;
        }
        long consumedBefore = buffer.consumedBytes();
        long linesBefore = buffer.lineCount();
        // At the end of the input the parser would take the lines received so far for a head.
        T head = parseHead();
        headBytes += buffer.consumedBytes() - consumedBefore;
        headLines += buffer.lineCount() - linesBefore;
        if (headBytes + (head == null ? buffer.length() : 0) > maxHeadBytes) {
            throw new MessageConstraintException("head exceeds " + maxHeadBytes + " bytes");
        }
        if (head != null) {
            headComplete = true;
            parser.reset();
        }
        return head;
    }

    private T parseHead() throws HttpException, IOException {
        try {
            return parser.parse(buffer, false);
        } catch (IllegalArgumentException e) {
            // The parser reports a version with a sign by this exception.
            throw new HttpException("malformed head", e);
        }
    }

    /** Begins a body of the given length, which may be a constant of {@link ContentLengthStrategy}. */
    void beginBody(long length) {
        framingBytes = 0;
        buffer.setReadingChunkLines(length == ContentLengthStrategy.CHUNKED);
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

    /** Reads the next bytes of the body into a buffer with room; returns their number, 0 if none are available. */
    int readBody(ByteBuffer target) throws IOException {
        int positionBefore = target.position();
        long consumedBefore = buffer.consumedBytes();
        long linesBefore = buffer.lineCount();
        int last = isBodyComplete() ? 0 : body.read(target);
        while (last > 0 && target.hasRemaining()) {
            last = body.read(target);
        }
        int count = target.position() - positionBefore;
        long framing = buffer.consumedBytes() - consumedBefore - count;
        framingBytes = count > 0 ? 0 : framingBytes + framing;
        if (framingBytes > maxHeadBytes) {
            throw new MessageConstraintException("framing exceeds " + maxHeadBytes + " bytes");
        }
        keptFramingBytes = Math.max(keptFramingBytes, Math.min(maxHeadBytes, Math.max(framing, framingBytes)));
        framingLines = count > 0 ? 0 : framingLines + buffer.lineCount() - linesBefore;
        return count;
    }

    /** Returns whether the body was read to its end. A body of length 0 is complete after the first read. */
    boolean isBodyComplete() {
        return body == null || body.isCompleted();
    }
}
