package org.cranberrybend.controller.configuration;

import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.schedule.Backoff;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Watches the head of the configuration while this controller is one of the two active controllers of its zone.
 *
 * <p>The head is read again after each failure and after each watch that timed out, because a store that was rolled
 * back to older data does not complete a watch for a later revision.
 *
 * <p>Confined to one thread.
 */
public final class ConfigurationWatcher implements PeriodicTask.Step {
    // Bounds the time until a rollback of the store is detected that does not interrupt the connection.
    private static final long WATCH_WAIT_MS = 5_000;
    private static final long INACTIVE_PAUSE_MS = 1_000;
    private static final long DIVERGED_PAUSE_MS = 5_000;

    private final KeyValueStore store;
    private final ConfigurationSynchronizer synchronizer;
    private final PendingRevocations pendingRevocations;
    private final ShardCleaner cleaner;
    private final ControllerRanking ranking;
    private final Backoff backoff;
    private final EventLog events;
    private StoredHead lastHead;

    /** Creates a watcher that uses {@code store} only to read and watch the head. */
    public ConfigurationWatcher(
            KeyValueStore store,
            ConfigurationSynchronizer synchronizer,
            PendingRevocations pendingRevocations,
            ShardCleaner cleaner,
            ControllerRanking ranking,
            Backoff backoff,
            EventLog events) {
        this.store = store;
        this.synchronizer = synchronizer;
        this.pendingRevocations = pendingRevocations;
        this.cleaner = cleaner;
        this.ranking = ranking;
        this.backoff = backoff;
        this.events = events;
    }

    @Override
    public long run() {
        if (!ranking.isActive()) {
            lastHead = null;
            return INACTIVE_PAUSE_MS;
        }
        try {
            StoredHead current = synchronizer.synchronize(nextHeadValue());
            recordAvailable(current);
            runHeadTasks(current);
            return 0;
        } catch (PlatformException e) {
            lastHead = null;
            if (!backoff.isFailing()) {
                events.record(
                        EventCode.STORE_UNAVAILABLE, "configuration", Map.of("reason", String.valueOf(e.getMessage())));
            }
            return backoff.nextDelayMs();
        } catch (ConfigurationDivergedException e) {
            lastHead = null;
            return DIVERGED_PAUSE_MS;
        }
    }

    private VersionedValue nextHeadValue() throws PlatformException {
        if (lastHead != null) {
            Optional<VersionedValue> changed =
                    store.watch(ConfigurationRepository.HEAD_KEY, lastHead.storeRevision(), WATCH_WAIT_MS);
            if (changed.isPresent()) {
                return changed.get();
            }
        }
        return store.get(ConfigurationRepository.HEAD_KEY);
    }

    private void recordAvailable(StoredHead current) {
        if (backoff.isFailing()) {
            backoff.reset();
            events.record(
                    EventCode.STORE_AVAILABLE,
                    "configuration",
                    Map.of("revision", current.head().revision()));
        }
    }

    private void runHeadTasks(StoredHead current) throws PlatformException {
        ConfigurationHead previous = lastHead == null ? current.head() : lastHead.head();
        lastHead = current;
        if (ranking.isFirst()) {
            pendingRevocations.write();
            cleaner.clean(previous, current.head());
        }
    }
}
