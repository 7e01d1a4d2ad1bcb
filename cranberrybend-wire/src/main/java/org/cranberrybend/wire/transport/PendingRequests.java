package org.cranberrybend.wire.transport;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.wire.generated.Envelope;

/** Requests that wait for a reply, by correlation identifier. Thread-safe. */
final class PendingRequests {
    private final AtomicLong lastId = new AtomicLong();
    private final ConcurrentMap<Long, Pending> pendingById = new ConcurrentHashMap<>();

    /** A pending request and, once it is written, the channel on which its reply must arrive. */
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

        /** Returns the channel of the request if it received no frame since the request was written. */
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

    /** Records the channel of a request that is about to be written. */
    void bindChannel(long id, PeerChannel channel) {
        Pending pending = pendingById.get(id);
        if (pending != null) {
            pending.receivedFramesAtWrite = channel.receivedFrames();
            pending.channel = channel;
        }
    }

    /** Removes a request if its reply is expected on the given channel. */
    Optional<Pending> remove(long id, PeerChannel channel) {
        Pending pending = pendingById.get(id);
        if (pending == null || pending.channel != channel || !pendingById.remove(id, pending)) {
            return Optional.empty();
        }
        return Optional.of(pending);
    }

    /** Removes a request regardless of its channel; empty if its reply arrived in the meantime. */
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
