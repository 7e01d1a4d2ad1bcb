package org.cranberrybend.controller.configuration;

import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.schedule.RepeatedTask;
import org.cranberrybend.controller.schedule.RetryDelay;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Follows the head of the configuration while this controller is one of the two that do so for their zone.
 *
 * <p>The head is read again after each failure and after each wait without a change, because a service that came back
 * with older data does not answer a watch for a later revision.
 *
 * <p>Used by one thread.
 */
public final class ConfigurationWatcher implements RepeatedTask.Step {
    // Bounds the time until older data is noticed that came back without an interruption of the connection.
    private static final long WATCH_WAIT_MS = 5_000;
    private static final long NOT_RANKED_PAUSE_MS = 1_000;
    private static final long DIVERGED_PAUSE_MS = 5_000;

    private final KeyValueStore store;
    private final ConfigurationSynchroniser synchroniser;
    private final PendingRevocations pendingRevocations;
    private final ShardCleaner cleaner;
    private final ControllerRanking ranking;
    private final RetryDelay retryDelay;
    private final EventLog events;
    private StoredHead last;

    /** Creates a watcher; {@code store} is used for the long wait only. */
    public ConfigurationWatcher(
            KeyValueStore store,
            ConfigurationSynchroniser synchroniser,
            PendingRevocations pendingRevocations,
            ShardCleaner cleaner,
            ControllerRanking ranking,
            RetryDelay retryDelay,
            EventLog events) {
        this.store = store;
        this.synchroniser = synchroniser;
        this.pendingRevocations = pendingRevocations;
        this.cleaner = cleaner;
        this.ranking = ranking;
        this.retryDelay = retryDelay;
        this.events = events;
    }

    @Override
    public long run() {
        if (!ranking.isRanked()) {
            last = null;
            return NOT_RANKED_PAUSE_MS;
        }
        try {
            StoredHead current = synchroniser.synchronise(nextHeadValue());
            recordAvailable(current);
            follow(current);
            return 0;
        } catch (PlatformException e) {
            last = null;
            if (!retryDelay.isFailing()) {
                events.record(
                        EventCode.STORE_UNAVAILABLE, "configuration", Map.of("reason", String.valueOf(e.getMessage())));
            }
            return retryDelay.nextMs();
        } catch (DivergedException e) {
            last = null;
            return DIVERGED_PAUSE_MS;
        }
    }

    private VersionedValue nextHeadValue() throws PlatformException {
        if (last != null) {
            Optional<VersionedValue> changed =
                    store.watch(ConfigurationRepository.HEAD_KEY, last.storeRevision(), WATCH_WAIT_MS);
            if (changed.isPresent()) {
                return changed.get();
            }
        }
        return store.get(ConfigurationRepository.HEAD_KEY);
    }

    private void recordAvailable(StoredHead current) {
        if (retryDelay.isFailing()) {
            retryDelay.succeeded();
            events.record(
                    EventCode.STORE_AVAILABLE,
                    "configuration",
                    Map.of("revision", current.head().revision()));
        }
    }

    private void follow(StoredHead current) throws PlatformException {
        ConfigurationHead previous = last == null ? current.head() : last.head();
        last = current;
        if (ranking.isFirst()) {
            pendingRevocations.write();
            cleaner.clean(previous, current.head());
        }
    }
}
