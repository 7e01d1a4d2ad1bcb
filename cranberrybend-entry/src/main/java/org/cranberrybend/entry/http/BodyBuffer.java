package org.cranberrybend.entry.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request while it is received, in segments that are allocated as its bytes arrive: a declared length is
 * only a claim of the caller.
 */
final class BodyBuffer {
    /** Capacity of the first segment at most; most bodies fit into it. */
    static final int FIRST_SEGMENT_BYTES = 16 * 1024;

    private static final int SEGMENT_BYTES = 64 * 1024;
    /** First segment of a body of unknown length. */
    private static final int UNKNOWN_LENGTH_SEGMENT_BYTES = 4 * 1024;

    private final long declaredLength;
    private final List<ByteBuffer> segments = new ArrayList<>(1);
    private int capacity;
    private int fullBytes;

    /** Creates an empty buffer; a negative declared length is unknown. */
    BodyBuffer(long declaredLength) {
        this.declaredLength = declaredLength;
    }

    int capacity() {
        return capacity;
    }

    int size() {
        return fullBytes + (segments.isEmpty() ? 0 : last().position());
    }

    private ByteBuffer last() {
        return segments.get(segments.size() - 1);
    }

    /** Returns the segment to read into, or null if another one must be {@linkplain #grow added} first. */
    ByteBuffer target() {
        return segments.isEmpty() || !last().hasRemaining() ? null : last();
    }

    /** Returns the capacity of the next segment. */
    int nextSegmentBytes() {
        if (declaredLength >= 0) {
            long missing = Math.max(1, declaredLength - capacity);
            return (int) Math.min(missing, segments.isEmpty() ? FIRST_SEGMENT_BYTES : SEGMENT_BYTES);
        }
        return Math.min(SEGMENT_BYTES, Math.max(UNKNOWN_LENGTH_SEGMENT_BYTES, capacity));
    }

    /** Adds a segment. */
    void grow() {
        int bytes = nextSegmentBytes();
        fullBytes = capacity;
        segments.add(ByteBuffer.allocate(bytes));
        capacity += bytes;
    }

    /** Returns the bytes; without a copy if they fill one segment. */
    byte[] toArray() {
        if (segments.size() == 1 && !last().hasRemaining()) {
            return last().array();
        }
        ByteBuffer all = ByteBuffer.allocate(size());
        segments.forEach(each -> all.put(each.array(), 0, each.position()));
        return all.array();
    }
}
