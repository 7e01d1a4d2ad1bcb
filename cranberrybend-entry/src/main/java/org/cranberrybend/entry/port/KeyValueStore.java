package org.cranberrybend.entry.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store. Futures complete on the event loop, on failure with a {@link StoreException}. Reads
 * are linearizable.
 *
 * <p>The store may be restored from a copy that is some seconds old, and only then loses what it has confirmed. Revisions
 * and leases are those of {@link StoreRevision}, so that none is given out twice. A watch from a revision of an earlier
 * epoch fails with {@link StoreException.Kind#HISTORY_LOST}, a write that depends on one with {@link
 * StoreException.Kind#CONDITION_FAILED}, and a lease of an earlier epoch is {@link StoreException.Kind#NOT_FOUND}.
 */
public interface KeyValueStore {
    /** Returns the epoch of the store. It is recorded before the future of a call completes. */
    StoreEpoch epoch();

    /** Reads one item. */
    CompletableFuture<Optional<StoreItem>> get(String key);

    /** Reads all items under a prefix, in several pages if needed. */
    CompletableFuture<StoreSnapshot> list(String prefix);

    /** Time beyond the given one after which a watch without a response fails, in milliseconds. */
    long WATCH_MARGIN_MS = 1_000;

    /**
     * Waits for changes under a prefix after a revision; completes without changes after the given time, and fails
     * {@link #WATCH_MARGIN_MS} later.
     */
    CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs);

    /** Applies a write; returns the revision of the change. */
    CompletableFuture<Long> write(StoreWrite write);

    /** Grants a lease and returns its identifier. */
    CompletableFuture<Long> grantLease(long ttlMs);

    /** Renews a lease. */
    CompletableFuture<Void> renewLease(long leaseId);

    /** Ends a lease; its keys are deleted. */
    CompletableFuture<Void> endLease(long leaseId);
}
