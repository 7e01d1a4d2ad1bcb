package org.cranberrybend.entry.store;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreSnapshot;

/**
 * Follows all keys under a prefix: reads them once, then watches for changes, and reads again when the store no longer
 * has the changes since. Confined to the event loop.
 */
public final class PrefixWatch {
    /**
     * Time for which one watch waits. A connection may go silent without an error; a watch that is not answered in
     * little more than this time is taken up on a new connection.
     */
    private static final long WATCH_WAIT_MS = 4_000;

    private static final long FIRST_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 800;

    /** Receives what the watch sees. */
    public interface Listener {
        /** Takes all items. {@code outageMs} is how long the store was not heard before; 0 at the first reading. */
        void onSnapshot(StoreSnapshot snapshot, long outageMs);

        /** Takes one change. */
        void onChange(StoreChange change);

        /** The store was heard; what was taken so far is its state up to the given revision. */
        void onProgress(long revision);

        /** The first call failed since the store was heard, or at all. */
        void onStoreUnavailable(String cause);
    }

    private final KeyValueStore store;
    private final String prefix;
    private final long gatherMs;
    private final ScheduledExecutorService loop;
    private final TimeSource timeSource;
    private final Listener listener;
    private long revision = -1;
    private long lastHeardMs;
    private boolean lost;
    private long retryMs = FIRST_RETRY_MS;

    /**
     * Creates a watch that does nothing yet.
     *
     * @param gatherMs time for which changes gather at the store before the next call, because each call is priced
     */
    public PrefixWatch(
            KeyValueStore store,
            String prefix,
            long gatherMs,
            ScheduledExecutorService loop,
            TimeSource timeSource,
            Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.gatherMs = gatherMs;
        this.loop = loop;
        this.timeSource = timeSource;
        this.listener = listener;
    }

    /** Begins to read. */
    public void start() {
        if (revision < 0) {
            store.list(prefix).whenComplete(this::onList);
        } else {
            store.watch(prefix, revision, WATCH_WAIT_MS).whenComplete(this::onWatch);
        }
    }

    private void onList(StoreSnapshot snapshot, Throwable failure) {
        if (failure != null) {
            failed(failure);
            return;
        }
        long outageMs = lost && lastHeardMs > 0 ? timeSource.monotonicMs() - lastHeardMs : 0;
        heard();
        revision = snapshot.revision();
        listener.onSnapshot(snapshot, outageMs);
        listener.onProgress(revision);
        start();
    }

    private void onWatch(StoreChanges changes, Throwable failure) {
        if (failure != null) {
            if (StoreException.kindOf(failure) == StoreException.Kind.HISTORY_LOST) {
                revision = -1;
                start();
                return;
            }
            failed(failure);
            return;
        }
        if (lost) {
            // Entries that lapsed during an outage come back; only a new reading tells them from deleted ones.
            revision = -1;
            start();
            return;
        }
        heard();
        revision = Math.max(revision, changes.revision());
        changes.changes().forEach(listener::onChange);
        listener.onProgress(revision);
        if (changes.changes().isEmpty() || gatherMs == 0) {
            start();
        } else {
            loop.schedule(this::start, gatherMs, TimeUnit.MILLISECONDS);
        }
    }

    private void heard() {
        lastHeardMs = timeSource.monotonicMs();
        lost = false;
        retryMs = FIRST_RETRY_MS;
    }

    private void failed(Throwable failure) {
        if (!lost) {
            lost = true;
            listener.onStoreUnavailable(String.valueOf(failure.getMessage()));
        }
        loop.schedule(this::start, retryMs, TimeUnit.MILLISECONDS);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
}
