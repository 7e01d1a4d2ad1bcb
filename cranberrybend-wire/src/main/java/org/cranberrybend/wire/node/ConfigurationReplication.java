package org.cranberrybend.wire.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationReplica;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.ConfigurationDelta;
import org.cranberrybend.wire.generated.ConfigurationRequest;
import org.cranberrybend.wire.generated.ConfigurationSnapshot;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Replicates the accepted configuration among the peers.
 *
 * <p>A change set accepted from the store is pushed to the own zone and to one member of every other zone, which
 * forwards it within its zone. Pushes may be lost: every frame carries the sender's revision, and a member with an
 * older one requests the missing change sets from the sender. The reply is a snapshot if the sender's history no longer
 * contains them.
 */
final class ConfigurationReplication {
    /** Number of hexadecimal digits of the chain digest in a frame. */
    static final int WIRE_DIGEST_LENGTH = 16;

    /** A snapshot of 13 MB takes 5 s on the inter-region link. */
    private static final long REQUEST_TIMEOUT_MS = 10_000;

    /** More than one, so that an unresponsive peer does not block requests to other peers. */
    private static final int MAX_CONCURRENT_REQUESTS = 3;

    /**
     * Backoff for a member after a request that failed or brought no newer configuration. Without it, every frame from
     * that member would trigger another request.
     */
    private static final long RETRY_DELAY_MS = 1_000;

    /** Bounds the memory for divergences that were already reported. */
    private static final int MAX_REPORTED_DIVERGENCES = 256;

    /** The configuration lock, the first in the lock order. Guards the replica and the history. */
    private final Object configurationLock = new Object();

    private final ConfigurationReplica replica = new ConfigurationReplica();
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final EventLog eventLog;
    private final PeerGroup peers;
    private final ChangeListeners listeners;
    private final StoreConfirmation confirmation;
    private final TimeSource timeSource;
    private final Set<String> requestedMembers = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> retryAtMs = new ConcurrentHashMap<>();
    private final Set<String> reportedDivergences = ConcurrentHashMap.newKeySet();

    /** State and view of one revision. Written under the configuration lock, read without it. */
    private volatile Accepted accepted =
            new Accepted(ConfigurationState.EMPTY, new ConfigurationView(ConfigurationState.EMPTY));

    private record Accepted(ConfigurationState state, ConfigurationView view) {}

    /** Origin of an offered configuration, as named in events. */
    private enum Source {
        STORE,
        PEER
    }

    ConfigurationReplication(EventLog eventLog, TimeSource timeSource, PeerGroup peers, ChangeListeners listeners) {
        this.eventLog = eventLog;
        this.peers = peers;
        this.listeners = listeners;
        this.timeSource = timeSource;
        this.confirmation = new StoreConfirmation(timeSource);
        PeerHandlers.onRequest(peers, Envelope.BodyCase.CONFIGURATION_REQUEST, this::reply);
        PeerHandlers.onMessage(peers, Envelope.BodyCase.CONFIGURATION_DELTA, this::receiveDelta);
    }

    ConfigurationState state() {
        return accepted.state();
    }

    ConfigurationView view() {
        return accepted.view();
    }

    StoreConfirmation confirmation() {
        return confirmation;
    }

    void fillHeader(Envelope.Builder frame) {
        ConfigurationState state = accepted.state();
        frame.setConfigurationRevision(state.revision())
                .setConfigurationDigest(wireDigest(state))
                .setStoreConfirmedAgeMs(confirmation.wireAgeMs());
    }

    private static String wireDigest(ConfigurationState state) {
        String digest = state.chainDigest();
        return digest.substring(0, Math.min(digest.length(), WIRE_DIGEST_LENGTH));
    }

    OfferResult offer(ChangeSet changeSet) {
        OfferResult result = accept(changeSet, Source.STORE);
        if (result == OfferResult.ACCEPTED) {
            peers.sendToOwnZoneAndRelays(delta(List.of(CanonicalJson.write(changeSet))));
        }
        return result;
    }

    OfferResult offerSnapshot(ConfigurationState snapshot) {
        OfferResult result = acceptSnapshot(snapshot, Source.STORE);
        if (result == OfferResult.ACCEPTED) {
            // The delta is empty: receivers see the revision in the frame header and request the missing change sets.
            peers.sendToOwnZoneAndRelays(delta(List.of()));
        }
        return result;
    }

    private OfferResult accept(ChangeSet changeSet, Source source) {
        OfferResult result;
        synchronized (configurationLock) {
            if (source == Source.PEER && history.contains(changeSet)) {
                return OfferResult.DUPLICATE;
            }
            result = replica.offer(changeSet);
            if (result == OfferResult.ACCEPTED) {
                history.add(changeSet);
                publish();
            }
        }
        reportResult(result, changeSet.revision(), changeSet.chainDigest(), changeSet.author(), source);
        return result;
    }

    private OfferResult acceptSnapshot(ConfigurationState snapshot, Source source) {
        OfferResult result;
        synchronized (configurationLock) {
            result = replica.offerSnapshot(snapshot);
            if (result == OfferResult.ACCEPTED) {
                history.clear();
                publish();
            }
        }
        reportResult(result, snapshot.revision(), snapshot.chainDigest(), "", source);
        return result;
    }

    private void publish() {
        ConfigurationState state = replica.accepted();
        accepted = new Accepted(state, accepted.view().next(state));
    }

    private void reportResult(OfferResult result, long revision, String digest, String author, Source source) {
        switch (result) {
            case ACCEPTED:
                eventLog.record(
                        EventCode.CONFIGURATION_ACCEPTED,
                        Long.toString(revision),
                        Map.of("source", source.name(), "author", author));
                listeners.notifyChanged();
                break;
            case OLDER:
                // Peers push concurrently, so an older revision from a peer is expected.
                if (source == Source.STORE) {
                    eventLog.record(
                            EventCode.CONFIGURATION_OLDER_REFUSED,
                            Long.toString(revision),
                            Map.of("accepted_revision", state().revision()));
                }
                break;
            case DIVERGED:
                reportDivergence(source.name(), revision, digest);
                break;
            default:
                break;
        }
    }

    private void reportDivergence(String source, long revision, String digest) {
        String wireDigest = digest.substring(0, Math.min(digest.length(), WIRE_DIGEST_LENGTH));
        boolean first = reportedDivergences.size() < MAX_REPORTED_DIVERGENCES
                && reportedDivergences.add(source + " " + revision + " " + wireDigest);
        if (first) {
            eventLog.record(
                    EventCode.CONFIGURATION_DIVERGED,
                    Long.toString(revision),
                    Map.of("source", source, "digest", wireDigest, "accepted_digest", wireDigest(state())));
        }
    }

    private void receiveDelta(Envelope frame) {
        if (!applyDelta(frame.getConfigurationDelta())) {
            return;
        }
        Optional<Member> sender = peers.find(frame.getSender());
        if (sender.isPresent() && !peers.isInOwnZone(sender.get())) {
            peers.sendToOwnZone(delta(List.copyOf(frame.getConfigurationDelta().getChangeSetsJsonList())));
        }
    }

    /** Returns whether at least one change set was accepted. */
    private boolean applyDelta(ConfigurationDelta delta) {
        boolean progressed = false;
        for (String json : delta.getChangeSetsJsonList()) {
            OfferResult result = accept(WireConversions.parseChangeSet(json), Source.PEER);
            progressed |= result == OfferResult.ACCEPTED;
            if (result == OfferResult.GAP || result == OfferResult.DIVERGED) {
                break;
            }
        }
        return progressed;
    }

    private Envelope.Builder reply(Envelope frame) {
        long afterRevision = frame.getConfigurationRequest().getAfterRevision();
        ConfigurationState state;
        List<String> delta;
        synchronized (configurationLock) {
            state = replica.accepted();
            delta = history.after(afterRevision);
        }
        if (state.revision() <= afterRevision || !delta.isEmpty()) {
            return delta(delta);
        }
        ConfigurationSnapshot snapshot = WireConversions.toWire(state);
        return Envelope.newBuilder().setConfigurationSnapshot(snapshot);
    }

    private static Envelope.Builder delta(List<String> changeSets) {
        return Envelope.newBuilder()
                .setConfigurationDelta(ConfigurationDelta.newBuilder().addAllChangeSetsJson(changeSets));
    }

    /**
     * Compares the revision and digest in a frame with the accepted configuration. Requests newer change sets from the
     * sender, unless the frame carries them.
     */
    void observe(Envelope frame) {
        ConfigurationState state = accepted.state();
        if (frame.getConfigurationRevision() > state.revision()) {
            boolean carriesChanges = frame.hasConfigurationDelta()
                    && frame.getConfigurationDelta().getChangeSetsJsonCount() > 0;
            if (!carriesChanges && !frame.hasConfigurationSnapshot()) {
                peers.find(frame.getSender()).ifPresent(sender -> requestNewer(sender.id(), sender.peerAddress()));
            }
            return;
        }
        boolean sameRevision = frame.getConfigurationRevision() == state.revision();
        if (sameRevision && !frame.getConfigurationDigest().equals(wireDigest(state))) {
            reportDivergence(frame.getSender(), frame.getConfigurationRevision(), frame.getConfigurationDigest());
            return;
        }
        confirmation.observe(frame);
    }

    /**
     * Requests newer configuration from a member. The future completes after the reply was applied, with whether the
     * accepted revision advanced; it is false at once if the limits on requests do not allow another one.
     */
    CompletableFuture<Boolean> requestNewer(String memberId, String address) {
        boolean delayed = timeSource.monotonicMs() < retryAtMs.getOrDefault(memberId, Long.MIN_VALUE);
        if (delayed || requestedMembers.size() >= MAX_CONCURRENT_REQUESTS || !requestedMembers.add(memberId)) {
            return CompletableFuture.completedFuture(false);
        }
        long revision = state().revision();
        Envelope.Builder request = Envelope.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setAfterRevision(revision));
        return peers.messenger()
                .request(address, request, REQUEST_TIMEOUT_MS)
                .thenApply(this::applyReply)
                .whenComplete((progressed, failure) -> {
                    if (failure == null && progressed) {
                        retryAtMs.remove(memberId);
                    } else {
                        retryAtMs.put(memberId, timeSource.monotonicMs() + RETRY_DELAY_MS);
                    }
                    requestedMembers.remove(memberId);
                });
    }

    private boolean applyReply(Envelope frame) {
        if (frame.hasConfigurationSnapshot()) {
            ConfigurationState snapshot = WireConversions.fromWire(frame.getConfigurationSnapshot());
            return acceptSnapshot(snapshot, Source.PEER) == OfferResult.ACCEPTED;
        }
        return applyDelta(frame.getConfigurationDelta());
    }
}
