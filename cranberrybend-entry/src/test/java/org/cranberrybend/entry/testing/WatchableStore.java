package org.cranberrybend.entry.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;

/** A store whose watches last until the next change. Several instances may watch it, each through its own view. */
public final class WatchableStore {
    private final TimeSource timeSource;
    private final List<StoreItem> items = new ArrayList<>();
    private final List<StoreChange> changes = new ArrayList<>();
    private final List<View> views = new ArrayList<>();
    private long revision = 1;
    private long historyStart = 1;

    /** Creates an empty store. */
    public WatchableStore(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** The store as one instance reaches it. */
    public final class View extends ForwardingStore {
        private final List<Watch> watches = new ArrayList<>();
        private boolean rejecting;
        private int watchCalls;
        private long sentValueBytes;

        private View() {
            super(new MemoryStore(timeSource));
        }

        /** Sets whether the store rejects all calls of the instance; watches in progress fail. */
        public void setRejecting(boolean isRejecting) {
            rejecting = isRejecting;
            if (rejecting) {
                List<Watch> failing = new ArrayList<>(watches);
                watches.clear();
                failing.forEach(each -> each.response.completeExceptionally(failure(StoreException.Kind.NOT_DONE)));
            }
        }

        /** Returns the number of watches that the instance has started at the store. */
        public int watchCalls() {
            return watchCalls;
        }

        /** Returns the length of all values that the store has sent to the instance. */
        public long sentValueBytes() {
            return sentValueBytes;
        }

        private void countSent(StoreItem item) {
            sentValueBytes += item.value().length;
        }

        @Override
        public CompletableFuture<Optional<StoreItem>> get(String key) {
            return rejecting
                    ? CompletableFuture.failedFuture(failure(StoreException.Kind.NOT_DONE))
                    : CompletableFuture.completedFuture(items.stream()
                            .filter(each -> each.key().equals(key))
                            .findFirst());
        }

        @Override
        public CompletableFuture<StoreSnapshot> list(String prefix) {
            if (rejecting) {
                return CompletableFuture.failedFuture(failure(StoreException.Kind.NOT_DONE));
            }
            List<StoreItem> found = new ArrayList<>(items);
            found.removeIf(each -> !each.key().startsWith(prefix));
            found.forEach(this::countSent);
            return CompletableFuture.completedFuture(new StoreSnapshot(found, revision));
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
            watchCalls++;
            if (rejecting) {
                return CompletableFuture.failedFuture(failure(StoreException.Kind.NOT_DONE));
            }
            if (afterRevision < historyStart) {
                return CompletableFuture.failedFuture(failure(StoreException.Kind.HISTORY_LOST));
            }
            Watch watch = new Watch(prefix, afterRevision, new CompletableFuture<>());
            watches.add(watch);
            completeWatches();
            return watch.response;
        }

        private void completeWatches() {
            List<Watch> due = new ArrayList<>(watches);
            due.removeIf(each -> changesFor(each).isEmpty());
            watches.removeAll(due);
            due.forEach(each -> {
                List<StoreChange> sent = changesFor(each);
                sent.forEach(change -> change.item().ifPresent(this::countSent));
                each.response.complete(new StoreChanges(sent, revision));
            });
        }
    }

    private record Watch(String prefix, long afterRevision, CompletableFuture<StoreChanges> response) {}

    private static StoreException failure(StoreException.Kind kind) {
        return new StoreException(kind, kind.name());
    }

    private List<StoreChange> changesFor(Watch watch) {
        List<StoreChange> found = new ArrayList<>(changes);
        found.removeIf(
                each -> each.revision() <= watch.afterRevision || !each.key().startsWith(watch.prefix));
        return found;
    }

    /** Returns the view of an instance. */
    public View newView() {
        views.add(new View());
        return views.get(views.size() - 1);
    }

    /** Writes a key. */
    public void put(String key, String value) {
        revision++;
        StoreItem item = new StoreItem(key, value.getBytes(), revision, revision, 0);
        items.removeIf(each -> each.key().equals(key));
        items.add(item);
        record(new StoreChange(key, revision, Optional.of(item)));
    }

    /** Deletes a key. */
    public void delete(String key) {
        revision++;
        items.removeIf(each -> each.key().equals(key));
        record(new StoreChange(key, revision, Optional.empty()));
    }

    /** Discards the changes so far: a watch from an earlier revision fails. */
    public void loseHistory() {
        historyStart = revision;
        changes.clear();
    }

    private void record(StoreChange change) {
        changes.add(change);
        new ArrayList<>(views).forEach(View::completeWatches);
    }
}
