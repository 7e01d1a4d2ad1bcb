package org.cranberrybend.controller.configuration;

import com.google.common.collect.EvictingQueue;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;
import org.cranberrybend.wire.node.ConfigurationStore;

/**
 * Synchronizes the accepted configuration with the key-value store.
 *
 * <p>A newer revision in the store is accepted. An older revision, and an equal revision with a different history, is
 * rejected and overwritten with the accepted configuration by compare-and-swap. A newer revision whose recent changes
 * contradict the accepted history is rejected but not overwritten, because other processes may have accepted it.
 *
 * <p>Thread-safe. The compare-and-swap on the head decides between concurrent calls, including those of other
 * processes.
 */
public final class ConfigurationSynchronizer {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_REPLACED_DIGESTS = 64;

    private final ConfigurationRepository repository;
    private final ConfigurationStore accepted;
    private final EventLog events;
    private final ChangeHistory history = new ChangeHistory();
    private final Object replacedLock = new Object();
    // Each divergent history is overwritten only once, so that two controllers with different histories do not
    // overwrite each other forever.
    private final Queue<String> replacedDigests = EvictingQueue.create(MAX_REPLACED_DIGESTS);

    /** Creates the synchronizer of the configuration accepted by this process. */
    public ConfigurationSynchronizer(ConfigurationRepository repository, ConfigurationStore accepted, EventLog events) {
        this.repository = repository;
        this.accepted = accepted;
        this.events = events;
    }

    /** Reads the head and synchronizes with it; see {@link #synchronize(VersionedValue)}. */
    public StoredHead synchronize() throws PlatformException, ConfigurationDivergedException {
        return synchronize(repository.readHeadValue());
    }

    /**
     * Synchronizes with a head that was just read.
     *
     * @return the stored head, whose configuration is the accepted one
     * @throws PlatformException if the store is unavailable or its head keeps changing
     * @throws ConfigurationDivergedException if the store has a divergent history that must not be overwritten
     */
    StoredHead synchronize(VersionedValue headValue) throws PlatformException, ConfigurationDivergedException {
        VersionedValue value = headValue;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigurationHead head = ConfigurationRepository.decode(value);
            ConfigurationState state = accepted.state();
            history.add(head.recentChanges());
            if (head.revision() == state.revision() && head.chainDigest().equals(state.chainDigest())) {
                accepted.recordStoreRead();
                return new StoredHead(value.revision(), head, state);
            }
            if (head.revision() > state.revision()) {
                value = acceptNewer(value, head, state);
            } else {
                overwriteStored(value, head, state);
                value = repository.readHeadValue();
            }
        }
        throw new PlatformException("config/head keeps changing", CallOutcome.NOT_ACCEPTED);
    }

    private VersionedValue acceptNewer(VersionedValue value, ConfigurationHead head, ConfigurationState state)
            throws PlatformException, ConfigurationDivergedException {
        List<ChangeSet> missing = head.changesAfter(state.revision());
        checkSameHistory(head, state);
        if (missing.size() == head.revision() - state.revision()) {
            for (ChangeSet change : missing) {
                accepted.offer(change);
            }
            return value;
        }
        StoredHead loaded = repository.load(value, state);
        history.add(loaded.head().recentChanges());
        checkSameHistory(loaded.head(), state);
        accepted.offerSnapshot(loaded.state());
        return loaded.storeRevision() == value.revision() ? value : repository.readHeadValue();
    }

    /** Checks that the recent changes at and after the accepted revision match the accepted history. */
    private void checkSameHistory(ConfigurationHead head, ConfigurationState state)
            throws ConfigurationDivergedException {
        for (ChangeSet change : head.recentChanges()) {
            boolean contradictsAccepted = change.revision() == state.revision()
                    && !change.chainDigest().equals(state.chainDigest());
            boolean contradictsNext = change.revision() == state.revision() + 1
                    && !change.previousDigest().equals(state.chainDigest());
            if (contradictsAccepted || contradictsNext) {
                recordDiverged(head, state);
                throw new ConfigurationDivergedException(head.revision(), state.revision());
            }
        }
    }

    private void overwriteStored(VersionedValue value, ConfigurationHead head, ConfigurationState state)
            throws PlatformException, ConfigurationDivergedException {
        boolean older = head.revision() < state.revision();
        if (older) {
            events.record(
                    EventCode.CONFIGURATION_OLDER_REFUSED,
                    "configuration",
                    Map.of("stored_revision", head.revision(), "accepted_revision", state.revision()));
        } else {
            recordDiverged(head, state);
        }
        if (!older && !tryRecordReplacement(head.chainDigest())) {
            throw new ConfigurationDivergedException(head.revision(), state.revision());
        }
        StoredHead base = new StoredHead(value.revision(), head, state);
        if (repository.store(base, state, history.endingAt(state.chainDigest()), "restored")) {
            events.record(
                    EventCode.CONFIGURATION_RESTORED,
                    "configuration",
                    Map.of("replaced_revision", head.revision(), "revision", state.revision()));
        }
    }

    private boolean tryRecordReplacement(String chainDigest) {
        synchronized (replacedLock) {
            return !replacedDigests.contains(chainDigest) && replacedDigests.add(chainDigest);
        }
    }

    /** Adds a change set written by this process to the history from which a lost head is restored. */
    void addToHistory(ChangeSet change) {
        history.add(List.of(change));
    }

    private void recordDiverged(ConfigurationHead head, ConfigurationState state) {
        events.record(
                EventCode.CONFIGURATION_DIVERGED,
                "configuration",
                Map.of(
                        "stored_revision", head.revision(),
                        "stored_digest", head.chainDigest(),
                        "accepted_revision", state.revision(),
                        "accepted_digest", state.chainDigest()));
    }
}
