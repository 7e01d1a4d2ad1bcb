package org.cranberrybend.wire.transport;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.wire.generated.Envelope;

/** Requests that wait for their response, by correlation identifier. */
final class PendingRequests {
    private final AtomicLong lastId = new AtomicLong();
    private final ConcurrentMap<Long, Pending> pendingById = new ConcurrentHashMap<>();

    /** A request and, once it was written, the connection on which its response must arrive. */
    static final class Pending {
        private final long id;
        private final CompletableFuture<Envelope> reply = new CompletableFuture<>();
        private volatile PeerChannel channel;
        private volatile long receivedFramesAtWrite;

        private Pending(long id) {
            this.id = id;
        }

        long id() {
            return id;
        }

        CompletableFuture<Envelope> reply() {
            return reply;
        }

        /** Returns the connection if it received no frame since the request was written. */
        Optional<PeerChannel> unresponsiveChannel() {
            PeerChannel written = channel;
            return written != null && written.receivedFrames() == receivedFramesAtWrite
                    ? Optional.of(written)
                    : Optional.empty();
        }
    }

    Pending create() {
        Pending pending = new Pending(lastId.incrementAndGet());
        pendingById.put(pending.id, pending);
        return pending;
    }

    /** Records the connection of a request about to be written. */
    void bindChannel(long id, PeerChannel channel) {
        Pending pending = pendingById.get(id);
        if (pending != null) {
            pending.receivedFramesAtWrite = channel.receivedFrames();
            pending.channel = channel;
        }
    }

    /** Removes the request that waits for a response on the given connection. */
    Optional<Pending> remove(long id, PeerChannel channel) {
        Pending pending = pendingById.get(id);
        if (pending == null || pending.channel != channel || !pendingById.remove(id, pending)) {
            return Optional.empty();
        }
        return Optional.of(pending);
    }

    /** Removes a request that gets no response any more; empty if it was answered meanwhile. */
    Optional<Pending> remove(long id) {
        return Optional.ofNullable(pendingById.remove(id));
    }

    void fail(long id, String reason) {
        remove(id).ifPresent(pending -> pending.reply.completeExceptionally(new IOException(reason)));
    }

    void failAll(PeerChannel channel, String reason) {
        for (Pending pending : pendingById.values()) {
            if (pending.channel == channel) {
                fail(pending.id, reason);
            }
        }
    }

    void failAll(String reason) {
        pendingById.keySet().forEach(id -> fail(id, reason));
    }
}
