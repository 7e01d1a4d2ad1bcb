package org.cranberrybend.wire.node;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.RevocationUpdate;

/**
 * Replicates the set of revoked API keys. Newly revoked keys are pushed to all members; the digests in probes detect
 * members that missed a push, and both sides then send their whole sets.
 */
final class RevocationReplication {
    /** Guards the merge. Ranks in the lock order like the configuration lock and is never held together with it. */
    private final Object revocationLock = new Object();

    private final EventLog eventLog;
    private final PeerGroup peers;
    private final ChangeListeners listeners;
    private volatile Revocations revocations = new Revocations(RevocationSet.EMPTY, digest(RevocationSet.EMPTY));

    private record Revocations(RevocationSet keys, long digest) {}

    RevocationReplication(EventLog eventLog, PeerGroup peers, ChangeListeners listeners) {
        this.eventLog = eventLog;
        this.peers = peers;
        this.listeners = listeners;
        PeerHandlers.onMessage(
                peers,
                Envelope.BodyCase.REVOCATION_UPDATE,
                frame -> merge(keys(frame.getRevocationUpdate().getKeyIdsList())));
    }

    private static RevocationSet keys(Iterable<String> keyIds) {
        return new RevocationSet(ImmutableSortedSet.copyOf(keyIds));
    }

    private static long digest(RevocationSet keys) {
        return WireConversions.digest(keys.keyIds().asList());
    }

    RevocationSet keys() {
        return revocations.keys();
    }

    long digest() {
        return revocations.digest();
    }

    void revoke(RevocationSet keys) {
        Set<String> added = merge(keys);
        if (!added.isEmpty()) {
            peers.sendToAll(update(added));
        }
    }

    private Set<String> merge(RevocationSet keys) {
        Set<String> added = new TreeSet<>(keys.keyIds());
        synchronized (revocationLock) {
            added.removeAll(revocations.keys().keyIds());
            RevocationSet merged = revocations.keys().merge(keys);
            revocations = new Revocations(merged, digest(merged));
        }
        added.forEach(keyId -> eventLog.record(EventCode.KEY_REVOKED, keyId, Map.of()));
        if (!added.isEmpty()) {
            listeners.notifyChanged();
        }
        return added;
    }

    /** Sends the whole set to a member with a different digest. That member does the same, so both hold the union. */
    void exchange(String address, long peerDigest) {
        Revocations current = revocations;
        if (current.digest() != peerDigest && !current.keys().keyIds().isEmpty()) {
            peers.messenger().send(address, update(current.keys().keyIds()));
        }
    }

    private static Envelope.Builder update(Set<String> keyIds) {
        return Envelope.newBuilder()
                .setRevocationUpdate(RevocationUpdate.newBuilder().addAllKeyIds(keyIds));
    }
}
