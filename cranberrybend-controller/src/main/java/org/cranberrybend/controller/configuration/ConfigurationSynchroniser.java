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
 * Brings the accepted configuration and the key-value service to the same revision.
 *
 * <p>Newer data in the service is accepted. Older data, and data of another history at the same revision, is refused,
 * and the accepted configuration is written back by compare-and-swap. A higher revision whose inline change sets
 * contradict the accepted history is refused and not overwritten, because other processes may have accepted it.
 *
 * <p>Thread-safe. Concurrent calls, also in other processes, are decided by the compare-and-swap on the head.
 */
public final class ConfigurationSynchroniser {
    private static final int ATTEMPTS = 4;
    private static final int REPLACED_DIGESTS = 64;

    private final ConfigurationRepository repository;
    private final ConfigurationStore accepted;
    private final EventLog events;
    private final ChangeHistory history = new ChangeHistory();
    private final Object replacedLock = new Object();
    // Each foreign history is overwritten once: two controllers with different histories must not alternate forever.
    private final Queue<String> replacedDigests = EvictingQueue.create(REPLACED_DIGESTS);

    /** Creates the synchroniser of the configuration accepted by this process. */
    public ConfigurationSynchroniser(ConfigurationRepository repository, ConfigurationStore accepted, EventLog events) {
        this.repository = repository;
        this.accepted = accepted;
        this.events = events;
    }

    /** Reads the head and synchronises with it; see {@link #synchronise(VersionedValue)}. */
    public StoredHead synchronise() throws PlatformException, DivergedException {
        return synchronise(repository.readHeadValue());
    }

    /**
     * Synchronises with a head that was just read.
     *
     * @return the stored head; its configuration is the accepted one
     * @throws PlatformException if the service cannot be reached or keeps changing
     * @throws DivergedException if the service holds another history that must not be overwritten
     */
    StoredHead synchronise(VersionedValue headValue) throws PlatformException, DivergedException {
        VersionedValue value = headValue;
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            ConfigurationHead head = ConfigurationRepository.decode(value);
            ConfigurationState state = accepted.state();
            history.remember(head.recentChanges());
            if (head.revision() == state.revision() && head.chainDigest().equals(state.chainDigest())) {
                accepted.recordStoreRead();
                return new StoredHead(value.revision(), head, state);
            }
            if (head.revision() > state.revision()) {
                value = accept(value, head, state);
            } else {
                restore(value, head, state);
                value = repository.readHeadValue();
            }
        }
        throw new PlatformException("config/head keeps changing", CallOutcome.NOT_ACCEPTED);
    }

    private VersionedValue accept(VersionedValue value, ConfigurationHead head, ConfigurationState state)
            throws PlatformException, DivergedException {
        List<ChangeSet> missing = head.changesAfter(state.revision());
        checkSameHistory(head, state);
        if (missing.size() == head.revision() - state.revision()) {
            for (ChangeSet change : missing) {
                accepted.offer(change);
            }
            return value;
        }
        StoredHead loaded = repository.load(value, state);
        history.remember(loaded.head().recentChanges());
        checkSameHistory(loaded.head(), state);
        accepted.offerSnapshot(loaded.state());
        return loaded.storeRevision() == value.revision() ? value : repository.readHeadValue();
    }

    /** Checks the inline change sets that touch the accepted revision. */
    private void checkSameHistory(ConfigurationHead head, ConfigurationState state) throws DivergedException {
        for (ChangeSet change : head.recentChanges()) {
            boolean contradictsAccepted = change.revision() == state.revision()
                    && !change.chainDigest().equals(state.chainDigest());
            boolean contradictsNext = change.revision() == state.revision() + 1
                    && !change.previousDigest().equals(state.chainDigest());
            if (contradictsAccepted || contradictsNext) {
                recordDiverged(head, state);
                throw new DivergedException(head.revision(), state.revision());
            }
        }
    }

    private void restore(VersionedValue value, ConfigurationHead head, ConfigurationState state)
            throws PlatformException, DivergedException {
        boolean older = head.revision() < state.revision();
        if (older) {
            events.record(
                    EventCode.CONFIGURATION_OLDER_REFUSED,
                    "configuration",
                    Map.of("stored_revision", head.revision(), "accepted_revision", state.revision()));
        } else {
            recordDiverged(head, state);
        }
        if (!older && !mayReplace(head.chainDigest())) {
            throw new DivergedException(head.revision(), state.revision());
        }
        StoredHead base = new StoredHead(value.revision(), head, state);
        if (repository.store(base, state, history.endingAt(state.chainDigest()), "restored")) {
            events.record(
                    EventCode.CONFIGURATION_RESTORED,
                    "configuration",
                    Map.of("replaced_revision", head.revision(), "revision", state.revision()));
        }
    }

    private boolean mayReplace(String chainDigest) {
        synchronized (replacedLock) {
            return !replacedDigests.contains(chainDigest) && replacedDigests.add(chainDigest);
        }
    }

    /** Keeps a change set that this process made, for writing a head back later. */
    void remember(ChangeSet change) {
        history.remember(List.of(change));
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
