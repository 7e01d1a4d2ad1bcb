package org.cranberrybend.entry.http;

/**
 * The memory that one connection of a caller occupies, by use. Each use is reserved in the limit of the server before
 * it is allocated, at the capacity that will be allocated rather than the length that a caller declares.
 */
final class ConnectionMemory {
    /** Uses of memory. */
    enum Use {
        /** Socket, channel, parser and smallest input buffer of an open connection. */
        CONNECTION,
        /** Input that was not parsed yet. */
        INPUT,
        HEAD,
        BODY,
        /** Responses that the caller has not read. */
        OUTPUT
    }

    /** Heap of an open connection without a request, rounded up. */
    static final int CONNECTION_BYTES = 6 * 1024;

    private static final Use[] USES = Use.values();

    private final HttpServer server;
    private final ServerConnection connection;
    private final long[] reservedBytes = new long[USES.length];

    ConnectionMemory(HttpServer server, ServerConnection connection) {
        this.server = server;
        this.connection = connection;
    }

    /**
     * Changes the memory of one use.
     *
     * @return false if the memory is not available; the reservation is then unchanged
     */
    boolean resize(Use use, long bytes) {
        long added = bytes - reservedBytes[use.ordinal()];
        if (added > 0) {
            boolean large = use == Use.BODY && bytes > BodyBuffer.FIRST_SEGMENT_BYTES;
            if (!server.acquireMemory(added, large, connection)) {
                return false;
            }
        } else if (added < 0) {
            server.memory().release(-added);
        }
        reservedBytes[use.ordinal()] = bytes;
        return true;
    }

    long reservedBytes(Use use) {
        return reservedBytes[use.ordinal()];
    }

    /** Releases everything. */
    void releaseAll() {
        for (Use use : USES) {
            resize(use, 0);
        }
    }
}
