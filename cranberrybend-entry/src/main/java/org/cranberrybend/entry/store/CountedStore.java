package org.cranberrybend.entry.store;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/** Counts the calls to a store by kind and result: each call is billed, and their rate is limited. */
public final class CountedStore implements KeyValueStore {
    private final KeyValueStore store;
    private final MetricRegistry metrics;

    /** Creates the counting store. */
    public CountedStore(KeyValueStore store, MetricRegistry metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    @Override
    public StoreEpoch epoch() {
        return store.epoch();
    }

    private <T> CompletableFuture<T> counted(String kind, CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> {
            String result = failure == null
                    ? "ok"
                    : StoreException.kindOf(failure).name().toLowerCase(Locale.ROOT);
            metrics.counter("store_calls{kind=\"" + kind + "\",result=\"" + result + "\"}")
                    .inc();
        });
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        return counted("get", store.get(key));
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        return counted("list", store.list(prefix));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
        return counted("watch", store.watch(prefix, afterRevision, waitMs));
    }

    @Override
    public CompletableFuture<Long> write(StoreWrite write) {
        return counted("write", store.write(write));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return counted("lease", store.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
        return counted("renewal", store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
        return counted("lease_end", store.endLease(leaseId));
    }
}
