package org.cranberrybend.daemon;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What an untrusted caller sends on one connection: a start, then a piece again and again up to a number of bytes, then
 * nothing more, while the connection stays open.
 */
enum TrafficShape {
    HEAD_OVER_THE_LIMIT(Texts.REQUEST, Texts.header(4_000), 64 * Texts.KIB, true),
    HEAD_OF_MANY_LINES(Texts.REQUEST, Texts.header(14_000), 2_500 * Texts.KIB, true),
    HEAD_OF_ONE_LINE(Texts.REQUEST + "X-Filler: ", "a".repeat(8_192), 4_000 * Texts.KIB, true),
    HEAD_WITHOUT_COLONS(Texts.REQUEST, "a".repeat(14_000) + "\r\n", 2_500 * Texts.KIB, true),
    HEAD_OF_FOLDED_LINES(Texts.REQUEST + "X-Filler: a\r\n", " " + "a".repeat(14_000) + "\r\n", 2_500 * Texts.KIB, true),
    REQUEST_LINE_WITHOUT_END("GET /", "a".repeat(8_192), 4_000 * Texts.KIB, true),
    EMPTY_LINES_BEFORE_A_REQUEST("", "\r\n".repeat(4_096), 4_000 * Texts.KIB, true),
    EMPTY_LINES_BETWEEN_REQUESTS(Texts.REQUEST + "\r\n", "\r\n".repeat(4_096), 4_000 * Texts.KIB, true),
    CHUNK_SIZE_WITHOUT_END(Texts.CHUNKED, "0".repeat(8_192), 4_000 * Texts.KIB, true),
    CHUNK_EXTENSIONS(Texts.CHUNKED, "1;" + "a".repeat(14_000) + "\r\nx\r\n", 4_000 * Texts.KIB, true),
    TRAILERS_WITHOUT_END(Texts.CHUNKED + "0\r\n", Texts.header(14_000), 2_500 * Texts.KIB, true),
    CHUNKED_BODY_WITHOUT_END(
            Texts.CHUNKED, Integer.toHexString(10_600) + "\r\n" + "x".repeat(10_600) + "\r\n", 3_900 * Texts.KIB, true),
    DECLARED_BODY_WITHOUT_END(
            "POST /ordinary/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 4194304\r\n\r\n",
            "x".repeat(8_192),
            256 * Texts.KIB,
            true),
    CONNECTIONS_WITHOUT_A_BYTE("", "", 0, true),
    CONNECTIONS_WITH_A_PART_OF_A_REQUEST_LINE("GET /", "a", 16, true),
    RESPONSES_NOT_READ("", Texts.REQUEST + "\r\n", 16_000 * Texts.KIB, false);

    private final byte[] start;
    private final byte[] piece;
    private final int limitBytes;
    private final boolean readingResponses;

    TrafficShape(String start, String piece, int limitBytes, boolean readingResponses) {
        this.start = start.getBytes(StandardCharsets.US_ASCII);
        this.piece = piece.getBytes(StandardCharsets.US_ASCII);
        this.limitBytes = limitBytes;
        this.readingResponses = readingResponses;
    }

    /** Returns what to send after the given number of bytes; empty at the end. */
    ByteBuffer next(int sentBytes) {
        if (sentBytes == 0 && start.length > 0) {
            return ByteBuffer.wrap(start).asReadOnlyBuffer();
        }
        return ByteBuffer.wrap(piece, 0, sentBytes < limitBytes ? piece.length : 0)
                .asReadOnlyBuffer();
    }

    boolean isReadingResponses() {
        return readingResponses;
    }

    /** Parts of the texts. */
    private static final class Texts {
        private static final int KIB = 1_024;
        private static final String REQUEST = "GET /-/unknown HTTP/1.1\r\nHost: soak.example\r\n";
        private static final String CHUNKED =
                "POST /ordinary/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\n";

        private static String header(int bytes) {
            return "X-Filler: " + "a".repeat(bytes) + "\r\n";
        }
    }
}
