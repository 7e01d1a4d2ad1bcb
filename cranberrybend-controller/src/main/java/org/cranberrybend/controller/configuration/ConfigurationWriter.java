package org.cranberrybend.controller.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cranberrybend.core.account.ApiKey;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationError;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationValidator;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.ConfigurationView.KeyOwner;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.wire.node.ConfigurationStore;

/**
 * Makes operators' changes: each is accepted as a whole on the revision that the operator saw, or refused.
 *
 * <p>Thread-safe; changes through several controllers are ordered by the compare-and-swap on the head.
 */
public final class ConfigurationWriter {
    private static final int CHANGES_MAX = 1_000;

    private final ConfigurationRepository repository;
    private final ConfigurationSynchroniser synchroniser;
    private final ConfigurationStore accepted;
    private final TimeSource time;
    private final EventLog events;

    /** Creates a writer that accepts its own changes into the given configuration. */
    public ConfigurationWriter(
            ConfigurationRepository repository,
            ConfigurationSynchroniser synchroniser,
            ConfigurationStore accepted,
            TimeSource time,
            EventLog events) {
        this.repository = repository;
        this.synchroniser = synchroniser;
        this.accepted = accepted;
        this.time = time;
        this.events = events;
    }

    /**
     * Returns the configuration confirmed by the key-value service just now.
     *
     * @throws RequestFailedException if the service cannot be reached
     */
    public ConfigurationState confirmed() throws RequestFailedException {
        return readHead().state();
    }

    /**
     * Makes or checks a change.
     *
     * @throws RequestFailedException with {@code REVISION_CONFLICT} if the configuration changed since the operator saw
     *     it, {@code CONFIGURATION_INVALID} with every fault, or {@code STORE_UNAVAILABLE}; in the last case the run
     *     state tells whether the change may have been made
     */
    public ChangeResult write(ChangeRequest request) throws RequestFailedException {
        try {
            StoredHead base = readHead();
            checkSeenRevision(request, base.head());
            ChangeSet changeSet = toChangeSet(request, base.head());
            ConfigurationState next = apply(base.state(), changeSet);
            ChangeResult result = new ChangeResult(next.revision(), next.chainDigest(), request.dryRun());
            if (!request.dryRun()) {
                store(request, base, changeSet, next);
                events.record(
                        EventCode.OPERATOR_CHANGE,
                        request.author(),
                        Map.of("revision", next.revision(), "entities", entityNames(changeSet)));
            }
            return result;
        } catch (RequestFailedException e) {
            events.record(
                    EventCode.OPERATOR_REFUSED,
                    request.author(),
                    Map.of("code", e.code().wireCode(), "reason", e.getMessage()));
            throw e;
        }
    }

    private StoredHead readHead() throws RequestFailedException {
        try {
            return synchroniser.synchronise();
        } catch (PlatformException | DivergedException e) {
            throw RequestFailedException.notRun(ErrorCode.STORE_UNAVAILABLE, e.getMessage());
        }
    }

    private static void checkSeenRevision(ChangeRequest request, ConfigurationHead head) throws RequestFailedException {
        if (request.seenRevision() != head.revision()) {
            throw conflict(request.seenRevision(), head);
        }
    }

    private static RequestFailedException conflict(long seenRevision, ConfigurationHead head) {
        String changes = head.changesAfter(seenRevision).stream()
                .map(each -> "revision " + each.revision() + " by " + each.author() + ": " + entityNames(each))
                .collect(Collectors.joining("; "));
        if (seenRevision > head.revision()) {
            changes = "revision " + seenRevision + " does not exist";
        } else if (changes.isEmpty()) {
            changes = "last change by " + head.author();
        }
        return RequestFailedException.notRun(ErrorCode.REVISION_CONFLICT, seenRevision, head.revision(), changes);
    }

    private static String entityNames(ChangeSet changeSet) {
        return changeSet.changes().stream()
                .map(each -> (each.value() == null ? "removed " : "set ")
                        + each.kind().wireName() + "/" + each.name())
                .collect(Collectors.joining(", "));
    }

    private ChangeSet toChangeSet(ChangeRequest request, ConfigurationHead head) throws RequestFailedException {
        if (request.changes().isEmpty() || request.changes().size() > CHANGES_MAX) {
            throw invalid(List.of(new ConfigurationError(
                    "changes",
                    "must have 1 to " + CHANGES_MAX + " elements: "
                            + request.changes().size())));
        }
        List<ConfigurationError> faults = new ArrayList<>();
        List<EntityChange> changes = new ArrayList<>();
        for (EntityChange each : request.changes()) {
            try {
                each.id();
                changes.add(new EntityChange(
                        each.kind(),
                        each.name(),
                        each.value() == null ? null : ConfigurationCodec.normalise(each.value())));
            } catch (IllegalArgumentException e) {
                faults.add(new ConfigurationError("changes/" + request.changes().indexOf(each), e.getMessage()));
            }
        }
        if (!faults.isEmpty()) {
            throw invalid(faults);
        }
        return new ChangeSet(head.revision() + 1, head.chainDigest(), request.author(), time.wallMs(), changes);
    }

    private static ConfigurationState apply(ConfigurationState state, ChangeSet changeSet)
            throws RequestFailedException {
        ConfigurationState next = state.apply(changeSet);
        List<ConfigurationError> faults = new ArrayList<>(ConfigurationValidator.validate(next));
        checkRevokedKeys(new ConfigurationView(state), new ConfigurationView(next), faults);
        if (!faults.isEmpty()) {
            throw invalid(faults);
        }
        return next;
    }

    /** A revocation must never be undone, for example by an operator who writes an older copy of the account. */
    private static void checkRevokedKeys(
            ConfigurationView before, ConfigurationView after, List<ConfigurationError> faults) {
        before.accounts().forEach((account, definition) -> {
            for (ApiKey key : definition.keys()) {
                KeyOwner owner = after.keyOwner(key.keyId()).orElse(null);
                if (key.revoked() && owner != null && !owner.key().revoked()) {
                    faults.add(new ConfigurationError(
                            "account/" + owner.account() + ".keys",
                            "key_id " + key.keyId() + " is revoked and must stay so"));
                }
            }
        });
    }

    private static RequestFailedException invalid(List<ConfigurationError> faults) {
        String text = faults.stream().map(ConfigurationError::toString).collect(Collectors.joining("; "));
        return RequestFailedException.notRun(ErrorCode.CONFIGURATION_INVALID, text);
    }

    private void store(ChangeRequest request, StoredHead base, ChangeSet changeSet, ConfigurationState next)
            throws RequestFailedException {
        List<ChangeSet> recentChanges = new ArrayList<>(base.head().recentChanges());
        recentChanges.add(changeSet);
        boolean stored;
        try {
            stored = repository.store(base, next, recentChanges, request.author());
        } catch (PlatformException e) {
            throw e.outcome() == CallOutcome.UNKNOWN
                    ? RequestFailedException.outcomeUnknown(ErrorCode.STORE_UNAVAILABLE, e.getMessage())
                    : RequestFailedException.notRun(ErrorCode.STORE_UNAVAILABLE, e.getMessage());
        }
        if (!stored) {
            throw conflict(request.seenRevision(), readHead().head());
        }
        synchroniser.remember(changeSet);
        accepted.offer(changeSet);
    }
}
