package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input buffer of one connection, from which HttpCore's message parsers and content decoders read.
 *
 * <p>It exists because HttpCore's own implementation is not public. Bytes are added by {@link #append}; the channel
 * that HttpCore passes to {@link #fill} only signals the end of the input.
 */
final class ReceiveBuffer implements SessionInputBuffer {
    private static final int INITIAL_BYTES = 1024;
    private static final int MAX_RETAINED_BYTES = 16 * 1024;

    private final int maxLineBytes;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int start;
    private int end;

    ReceiveBuffer(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    void append(ByteBuf source) {
        int added = source.readableBytes();
        ensureCapacity(added);
        source.readBytes(bytes, end, added);
        end += added;
    }

    private void ensureCapacity(int added) {
        if (bytes.length - end >= added) {
            return;
        }
        int length = end - start;
        byte[] target = bytes.length - length >= added ? bytes : new byte[Math.max(bytes.length * 2, length + added)];
        System.arraycopy(bytes, start, target, 0, length);
        bytes = target;
        start = 0;
        end = length;
    }

    private void consume(int count) {
        start += count;
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
        int textEnd = lineEnd > start && bytes[lineEnd - 1] == '\r' ? lineEnd - 1 : lineEnd;
        line.append(bytes, start, textEnd - start);
        consume(newline + 1 - start);
        return true;
    }

    private int indexOfNewline() {
        for (int i = start; i < end; i++) {
            if (bytes[i] == '\n') {
                return i;
            }
        }
        return -1;
    }
}
