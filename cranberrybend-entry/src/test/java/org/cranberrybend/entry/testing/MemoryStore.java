package org.cranberrybend.entry.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/** An in-memory key-value store that completes each call at once, with injected faults. */
public final class MemoryStore implements KeyValueStore {
    private final TimeSource timeSource;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final List<StoreWrite> delayedWrites = new ArrayList<>();
    private long revision = 1;
    private long lastLease;
    private boolean down;
    private int repliesToLose;
    private int writes;
    private boolean delayLostWrites;
    private final StoreEpoch epoch = new StoreEpoch();

    /** The content of the store at one time. */
    public record Copy(Map<String, StoreItem> items, Map<Long, Long> leaseEnds, long revision, long lastLease) {
        public Copy {
            items = Map.copyOf(items);
            leaseEnds = Map.copyOf(leaseEnds);
        }
    }

    /** Creates an empty store whose leases expire by the given clock. */
    public MemoryStore(TimeSource timeSource) {
        this.timeSource = timeSource;
        epoch.observe(0);
    }

    /** Returns a copy of the content. */
    public Copy copy() {
        expire();
        return new Copy(items, leaseEnds, revision, lastLease);
    }

    /** Replaces the content by a copy, and begins the next epoch, which all users of the store learn at once. */
    public void restore(Copy copy) {
        items.clear();
        leaseEnds.clear();
        items.putAll(copy.items());
        leaseEnds.putAll(copy.leaseEnds());
        revision = copy.revision();
        lastLease = copy.lastLease();
        epoch.observe(epoch.current() + 1);
    }

    @Override
    public StoreEpoch epoch() {
        return epoch;
    }

    private StoreItem inEpoch(StoreItem item) {
        return new StoreItem(
                item.key(), item.value(), inEpoch(item.revision()), inEpoch(item.createdRevision()), item.leaseId());
    }

    private long inEpoch(long number) {
        return StoreRevision.of(epoch.current(), number);
    }

    /** Sets whether every call fails without being executed. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Returns whether every call fails without being executed. */
    public boolean isDown() {
        return down;
    }

    /** Loses the responses of the next writes, which are executed at once or by {@link #runDelayedWrites}. */
    public void loseReplies(int count, boolean delayed) {
        repliesToLose = count;
        delayLostWrites = delayed;
    }

    /** Executes the delayed writes. */
    public void runDelayedWrites() {
        delayedWrites.forEach(this::apply);
        delayedWrites.clear();
    }

    /** Returns the text stored under a key. */
    public Optional<String> text(String key) {
        expire();
        return Optional.ofNullable(items.get(key)).map(item -> new String(item.value()));
    }

    /** Returns the keys under a prefix. */
    public List<String> keys(String prefix) {
        expire();
        return new ArrayList<>(
                items.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    private void expire() {
        long nowMs = timeSource.monotonicMs();
        items.values()
                .removeIf(
                        item -> item.leaseId() != 0 && leaseEnds.getOrDefault(item.leaseId(), Long.MIN_VALUE) <= nowMs);
        leaseEnds.values().removeIf(end -> end <= nowMs);
    }

    private static <T> CompletableFuture<T> failed(StoreException.Kind kind) {
        return CompletableFuture.failedFuture(new StoreException(kind, kind.name()));
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        expire();
        return down
                ? failed(StoreException.Kind.NOT_DONE)
                : CompletableFuture.completedFuture(
                        Optional.ofNullable(items.get(key)).map(this::inEpoch));
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        expire();
        return down
                ? failed(StoreException.Kind.NOT_DONE)
                : CompletableFuture.completedFuture(new StoreSnapshot(
                        items.subMap(prefix, prefix + Character.MAX_VALUE).values().stream()
                                .map(this::inEpoch)
                                .collect(Collectors.toList()),
                        inEpoch(revision)));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
        return failed(StoreException.Kind.NOT_DONE);
    }

    private boolean holds(StoreWrite write) {
        for (Map.Entry<String, Long> condition : write.expectedRevisions().entrySet()) {
            StoreItem item = items.get(condition.getKey());
            if ((item == null ? 0 : inEpoch(item.revision())) != condition.getValue()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of write calls, failed ones included. */
    public int writes() {
        return writes;
    }

    private boolean apply(StoreWrite write) {
        expire();
        if (!holds(write)) {
            return false;
        }
        revision++;
        for (StoreWrite.Put put : write.puts()) {
            StoreItem old = items.get(put.key());
            long created = old == null ? revision : old.createdRevision();
            items.put(
                    put.key(),
                    new StoreItem(put.key(), put.value(), revision, created, StoreRevision.numberOf(put.leaseId())));
        }
        write.deletes().forEach(items::remove);
        return true;
    }

    @Override
    public CompletableFuture<Long> write(StoreWrite write) {
        writes++;
        if (down) {
            return failed(StoreException.Kind.NOT_DONE);
        }
        if (repliesToLose > 0) {
            repliesToLose--;
            if (delayLostWrites) {
                delayedWrites.add(write);
            } else {
                apply(write);
            }
            return failed(StoreException.Kind.UNKNOWN);
        }
        return apply(write)
                ? CompletableFuture.completedFuture(inEpoch(revision))
                : failed(StoreException.Kind.CONDITION_FAILED);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        if (down) {
            return failed(StoreException.Kind.NOT_DONE);
        }
        lastLease++;
        leaseTtls.put(lastLease, ttlMs);
        leaseEnds.put(lastLease, timeSource.monotonicMs() + ttlMs);
        return CompletableFuture.completedFuture(inEpoch(lastLease));
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
        expire();
        if (down) {
            return failed(StoreException.Kind.NOT_DONE);
        }
        long number = StoreRevision.numberOf(leaseId);
        if (!leaseEnds.containsKey(number) || !epoch.contains(leaseId)) {
            return failed(StoreException.Kind.NOT_FOUND);
        }
        leaseEnds.put(number, timeSource.monotonicMs() + leaseTtls.get(number));
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
        if (epoch.contains(leaseId)) {
            leaseEnds.remove(StoreRevision.numberOf(leaseId));
        }
        expire();
        return CompletableFuture.completedFuture(null);
    }
}
