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
 * Applies changes requested by operators. Each change is applied atomically to the revision that the operator has seen,
 * or refused.
 *
 * <p>Thread-safe. Changes through different controllers are serialized by the compare-and-swap on the head.
 */
public final class ConfigurationWriter {
    private static final int MAX_CHANGES = 1_000;

    private final ConfigurationRepository repository;
    private final ConfigurationSynchronizer synchronizer;
    private final ConfigurationStore accepted;
    private final TimeSource time;
    private final EventLog events;

    /** Creates a writer that also offers its changes to the configuration accepted by this process. */
    public ConfigurationWriter(
            ConfigurationRepository repository,
            ConfigurationSynchronizer synchronizer,
            ConfigurationStore accepted,
            TimeSource time,
            EventLog events) {
        this.repository = repository;
        this.synchronizer = synchronizer;
        this.accepted = accepted;
        this.time = time;
        this.events = events;
    }

    /**
     * Returns the configuration after synchronizing it with the key-value store.
     *
     * @throws RequestFailedException if the store is unavailable or its history has diverged
     */
    public ConfigurationState confirmed() throws RequestFailedException {
        return readHead().state();
    }

    /**
     * Applies a change, or only validates it in a dry run.
     *
     * @throws RequestFailedException with {@code REVISION_CONFLICT} if the configuration has changed since the revision
     *     that the operator has seen, {@code CONFIGURATION_INVALID} with all validation errors, or
     *     {@code STORE_UNAVAILABLE}, in which case the run state states whether the change may have been applied
     */
    public ChangeResult write(ChangeRequest request) throws RequestFailedException {
        try {
            StoredHead base = readHead();
            checkRevision(request, base.head());
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
            return synchronizer.synchronize();
        } catch (PlatformException | ConfigurationDivergedException e) {
            throw RequestFailedException.notRun(ErrorCode.STORE_UNAVAILABLE, e.getMessage());
        }
    }

    private static void checkRevision(ChangeRequest request, ConfigurationHead head) throws RequestFailedException {
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
        if (request.changes().isEmpty() || request.changes().size() > MAX_CHANGES) {
            throw invalid(List.of(new ConfigurationError(
                    "changes",
                    "must have 1 to " + MAX_CHANGES + " elements: "
                            + request.changes().size())));
        }
        List<ConfigurationError> errors = new ArrayList<>();
        List<EntityChange> changes = new ArrayList<>();
        for (EntityChange each : request.changes()) {
            try {
                each.id();
                changes.add(new EntityChange(
                        each.kind(),
                        each.name(),
                        each.value() == null ? null : ConfigurationCodec.normalize(each.value())));
            } catch (IllegalArgumentException e) {
                errors.add(new ConfigurationError("changes/" + request.changes().indexOf(each), e.getMessage()));
            }
        }
        if (!errors.isEmpty()) {
            throw invalid(errors);
        }
        return new ChangeSet(head.revision() + 1, head.chainDigest(), request.author(), time.wallMs(), changes);
    }

    private static ConfigurationState apply(ConfigurationState state, ChangeSet changeSet)
            throws RequestFailedException {
        ConfigurationState next = state.apply(changeSet);
        List<ConfigurationError> errors = new ArrayList<>(ConfigurationValidator.validate(next));
        checkRevokedKeys(new ConfigurationView(state), new ConfigurationView(next), errors);
        if (!errors.isEmpty()) {
            throw invalid(errors);
        }
        return next;
    }

    /** Rejects a change that undoes a revocation, for example by writing an older copy of the account. */
    private static void checkRevokedKeys(
            ConfigurationView before, ConfigurationView after, List<ConfigurationError> errors) {
        before.accounts().forEach((account, definition) -> {
            for (ApiKey key : definition.keys()) {
                KeyOwner owner = after.keyOwner(key.keyId()).orElse(null);
                if (key.revoked() && owner != null && !owner.key().revoked()) {
                    errors.add(new ConfigurationError(
                            "account/" + owner.account() + ".keys",
                            "key_id " + key.keyId() + " is revoked and must stay so"));
                }
            }
        });
    }

    private static RequestFailedException invalid(List<ConfigurationError> errors) {
        String text = errors.stream().map(ConfigurationError::toString).collect(Collectors.joining("; "));
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
        synchronizer.addToHistory(changeSet);
        accepted.offer(changeSet);
    }
}
