package org.cranberrybend.entry.http;

import java.net.ProtocolException;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.cranberrybend.core.http.ResponseLine;

/** What a line of a message must be like, beyond what HttpCore's parsers check, when it is read. */
enum LineRules {
    /**
     * Refuses control characters within a line, white space before the first header, and a sign before the size of a
     * chunk. HttpCore skips them, so that another parser could read another request.
     */
    REQUEST {
        @Override
        void check(Line line) throws ProtocolException, MalformedChunkCodingException {
            checkSign(line);
            if (line.isIndented() && line.precedingLines() == 1 && line.place() == Place.HEAD) {
                throw new ProtocolException("white space before the first header");
            }
            for (int i = line.start(); i < line.end(); i++) {
                byte each = line.bytes()[i];
                if (each >= 0 && each < ' ' && each != '\t' || each == DELETE) {
                    throw new ProtocolException("control character within a line");
                }
            }
        }
    },
    /** Refuses each line that is not exactly what a response has at its place, see {@link ResponseLine}. */
    RESPONSE {
        @Override
        void check(Line line) throws ProtocolException {
            if (!line.endsWithCrLf() || !isExpected(line)) {
                throw new ProtocolException("line that has no place in a response");
            }
        }

        private boolean isExpected(Line line) {
            boolean empty = line.start() == line.end();
            switch (line.place()) {
                case CHUNKS:
                    return empty || line.is(ResponseLine.CHUNK_SIZE);
                case TRAILERS:
                    return empty || line.is(ResponseLine.FIELD);
                default:
                    boolean first = line.precedingLines() == 0;
                    return first ? line.is(ResponseLine.STATUS) : empty || line.is(ResponseLine.FIELD);
            }
        }
    };

    private static final byte DELETE = 0x7f;

    /** Where in a message a line stands. */
    enum Place {
        HEAD,
        /** Before or after the bytes of a chunk. */
        CHUNKS,
        /** After the chunk of size zero. */
        TRAILERS
    }

    /**
     * A line in a buffer.
     *
     * @param end position after the last byte, line end not included
     * @param endsWithCrLf whether the line end is a carriage return and a line feed, rather than a line feed only
     * @param precedingLines lines of the same head before this one, without empty ones
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Line(byte[] bytes, int start, int end, boolean endsWithCrLf, Place place, int precedingLines) {
        boolean isIndented() {
            return end > start && (bytes[start] == ' ' || bytes[start] == '\t');
        }

        /** Returns whether the line, as the size of a chunk, is that of the last one. */
        boolean isZeroSize() {
            int position = start;
            while (position < end && bytes[position] == '0') {
                position++;
            }
            return position > start && (position == end || bytes[position] == ';');
        }

        boolean is(ResponseLine kind) {
            return kind.matches(bytes, start, end);
        }
    }

    /** Fails if the line is not allowed. */
    abstract void check(Line line) throws ProtocolException, MalformedChunkCodingException;

    private static void checkSign(Line line) throws MalformedChunkCodingException {
        int first = line.start();
        while (first < line.end() && (line.bytes()[first] == ' ' || line.bytes()[first] == '\t')) {
            first++;
        }
        if (line.place() != Place.HEAD
                && first < line.end()
                && (line.bytes()[first] == '-' || line.bytes()[first] == '+')) {
            throw new MalformedChunkCodingException("sign before the size of a chunk");
        }
    }
}
