package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.cranberrybend.entry.http.LineRules.Place;

/**
 * The input buffer of one connection, from which HttpCore's message parsers and content decoders read.
 *
 * <p>It exists because HttpCore's own implementation is not public. Bytes are added by {@link #append}; the channel
 * that HttpCore passes to {@link #fill} only signals the end of the input.
 */
final class ReceiveBuffer implements SessionInputBuffer {
    /** Smallest capacity; each buffer has it from the start. */
    static final int INITIAL_BYTES = 1024;

    private static final int MAX_RETAINED_BYTES = 16 * 1024;

    private final int maxLineBytes;
    private final LineRules rules;
    private Place place = Place.HEAD;
    /** Number of lines of the current head so far, without empty ones. */
    private int headLines;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int start;
    private int end;
    /** Bytes after {@link #start} that are known to contain no line feed, so that a long line is searched once. */
    private int searchedBytes;

    private long consumedBytes;
    private long lineCount;

    ReceiveBuffer(int maxLineBytes, LineRules rules) {
        this.maxLineBytes = maxLineBytes;
        this.rules = rules;
    }

    void setReadingChunkLines(boolean reading) {
        place = reading ? Place.CHUNKS : Place.HEAD;
        headLines = 0;
    }

    void append(ByteBuf source) {
        int added = source.readableBytes();
        ensureCapacity(added);
        source.readBytes(bytes, end, added);
        end += added;
    }

    int capacity() {
        return bytes.length;
    }

    /** Returns the capacity that the buffer has after the given number of bytes was appended. */
    int capacityAfter(int added) {
        int needed = length() + added;
        return bytes.length >= needed ? bytes.length : Math.max(bytes.length * 2, needed);
    }

    /** Returns the number of bytes that were read from this buffer since its creation. */
    long consumedBytes() {
        return consumedBytes;
    }

    /** Returns the number of lines that were read from this buffer since its creation. */
    long lineCount() {
        return lineCount;
    }

    /** Discards the unread bytes. */
    void clear() {
        consume(length());
    }

    private void ensureCapacity(int added) {
        if (bytes.length - end >= added) {
            return;
        }
        int length = end - start;
        int capacity = capacityAfter(added);
        byte[] target = capacity == bytes.length ? bytes : new byte[capacity];
        System.arraycopy(bytes, start, target, 0, length);
        bytes = target;
        start = 0;
        end = length;
    }

    private void consume(int count) {
        start += count;
        consumedBytes += count;
        searchedBytes = 0;
        if (start == end) {
            start = 0;
            end = 0;
            if (bytes.length > MAX_RETAINED_BYTES) {
                bytes = new byte[INITIAL_BYTES];
            }
        }
    }

    @Override
    public boolean hasData() {
        return end > start;
    }

    @Override
    public int length() {
        return end - start;
    }

    @Override
    public int fill(ReadableByteChannel source) throws IOException {
        return source.read(ByteBuffer.allocate(0));
    }

    @Override
    public int read() {
        if (!hasData()) {
            return -1;
        }
        int value = bytes[start] & 0xff;
        consume(1);
        return value;
    }

    @Override
    public int read(ByteBuffer target, int maxBytes) {
        int count = Math.min(Math.min(target.remaining(), maxBytes), length());
        target.put(bytes, start, count);
        consume(count);
        return count;
    }

    @Override
    public int read(ByteBuffer target) {
        return read(target, target.remaining());
    }

    @Override
    public int read(WritableByteChannel target, int maxBytes) throws IOException {
        int written = target.write(ByteBuffer.wrap(bytes, start, Math.min(maxBytes, length())));
        consume(written);
        return written;
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return read(target, length());
    }

    /**
     * Reads a line if its end was received. The rest at the end of the input is not a line: the size of a chunk that was
     * cut off could be a smaller one, or the 0 of the last chunk.
     */
    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfInput) throws IOException {
        int newline = indexOfNewline();
        int lineEnd = newline < 0 ? end : newline;
        if (lineEnd - start > maxLineBytes) {
            throw new MessageConstraintException("line exceeds " + maxLineBytes + " bytes");
        }
        if (newline < 0) {
            return false;
        }
        boolean endsWithCrLf = lineEnd > start && bytes[lineEnd - 1] == '\r';
        int textEnd = endsWithCrLf ? lineEnd - 1 : lineEnd;
        LineRules.Line next = new LineRules.Line(bytes, start, textEnd, endsWithCrLf, place, headLines);
        rules.check(next);
        if (place == Place.CHUNKS && next.isZeroSize()) {
            place = Place.TRAILERS;
        }
        headLines += textEnd > start ? 1 : 0;
        line.append(bytes, start, textEnd - start);
        consume(newline + 1 - start);
        lineCount++;
        return true;
    }

    private int indexOfNewline() {
        for (int i = start + searchedBytes; i < end; i++) {
            if (bytes[i] == '\n') {
                return i;
            }
        }
        searchedBytes = end - start;
        return -1;
    }
}
