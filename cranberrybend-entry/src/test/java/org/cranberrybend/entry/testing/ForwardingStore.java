package org.cranberrybend.entry.testing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/** A store that forwards all calls to another one, for tests that override some of them. */
public class ForwardingStore implements KeyValueStore {
    private final KeyValueStore store;

    /** Creates a store that forwards to the given one. */
    public ForwardingStore(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public StoreEpoch epoch() {
        return store.epoch();
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        return store.list(prefix);
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
        return store.watch(prefix, afterRevision, waitMs);
    }

    @Override
    public CompletableFuture<Long> write(StoreWrite write) {
        return store.write(write);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return store.grantLease(ttlMs);
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
        return store.renewLease(leaseId);
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
        return store.endLease(leaseId);
    }
}
