package org.cranberrybend.router.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotInUse;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.transport.PeerMessenger;

/**
 * Slot requests pending at this entry router and the slots it has in use.
 *
 * <p>Edge cases: a grant for a request that no longer waits is released at once; a repeated grant of a slot in use is
 * ignored, because owners repeat the grant when they receive a slot request again.
 */
final class EntrySlots implements SlotReplyHandler {
    private final Consumer<SlotGrant> releaseUnwanted;
    private final Object lock = new Object();
    private final Map<String, PendingSlotRequest> pending = new HashMap<>();
    private final Map<String, SlotGrant> inUse = new HashMap<>();

    /** Creates the registry; {@code releaseUnwanted} releases an unwanted slot and is called without locks held. */
    EntrySlots(PeerMessenger messenger, Consumer<SlotGrant> releaseUnwanted) {
        this.releaseUnwanted = releaseUnwanted;
        messenger.register(Envelope.BodyCase.SLOT_GRANT, this::onGrant);
        messenger.register(Envelope.BodyCase.SLOT_REFUSAL, this::onRefusal);
        messenger.register(Envelope.BodyCase.SLOTS_IN_USE_QUERY, this::onQuery);
    }

    PendingSlotRequest register(String requestId) {
        PendingSlotRequest request = new PendingSlotRequest();
        synchronized (lock) {
            pending.put(requestId, request);
        }
        return request;
    }

    /** Ends the wait of a request; slots granted in the meantime are released. */
    void unregister(String requestId, PendingSlotRequest request) throws InterruptedException {
        synchronized (lock) {
            pending.remove(requestId, request);
        }
        for (PendingSlotRequest.Reply reply = request.poll(0); reply != null; reply = request.poll(0)) {
            if (reply instanceof PendingSlotRequest.Reply.Granted) {
                releaseUnwanted.accept(((PendingSlotRequest.Reply.Granted) reply).grant());
            }
        }
    }

    void markInUse(SlotGrant grant) {
        synchronized (lock) {
            inUse.put(grant.slotId(), grant);
        }
    }

    void markReleased(SlotGrant grant) {
        synchronized (lock) {
            inUse.remove(grant.slotId());
        }
    }

    int inUseCount() {
        synchronized (lock) {
            return inUse.size();
        }
    }

    /** Returns the slots in use on the given upstreams. */
    List<SlotInUse> slotsInUseOn(Collection<String> upstreamIds) {
        Set<String> wanted = Set.copyOf(upstreamIds);
        synchronized (lock) {
            return inUse.values().stream()
                    .filter(grant -> wanted.contains(grant.upstream().id()))
                    .map(grant -> new SlotInUse(
                            grant.slotId(), grant.requestId(), grant.upstream().id()))
                    .toList();
        }
    }

    @Override
    public void granted(SlotGrant grant) {
        synchronized (lock) {
            if (inUse.containsKey(grant.slotId())) {
                return;
            }
            PendingSlotRequest waiting = pending.get(grant.requestId());
            if (waiting != null) {
                waiting.add(new PendingSlotRequest.Reply.Granted(grant));
                return;
            }
        }
        releaseUnwanted.accept(grant);
    }

    @Override
    public void refused(String requestId, ErrorCode code, long retryAfterMs) {
        addReply(requestId, new PendingSlotRequest.Reply.Refused(code, retryAfterMs));
    }

    @Override
    public void moved(String requestId) {
        addReply(requestId, new PendingSlotRequest.Reply.Moved());
    }

    private void addReply(String requestId, PendingSlotRequest.Reply reply) {
        synchronized (lock) {
            PendingSlotRequest waiting = pending.get(requestId);
            if (waiting != null) {
                waiting.add(reply);
            }
        }
    }

    private Optional<Envelope.Builder> onGrant(Envelope message) {
        granted(SlotMessages.grant(message.getSlotGrant(), message.getSender()));
        return Optional.empty();
    }

    private Optional<Envelope.Builder> onRefusal(Envelope message) {
        SlotMessages.deliverRefusal(message.getSlotRefusal(), this);
        return Optional.empty();
    }

    private Optional<Envelope.Builder> onQuery(Envelope message) {
        List<SlotInUse> slots = slotsInUseOn(message.getSlotsInUseQuery().getUpstreamIdsList());
        return Optional.of(SlotMessages.slotsInUse(slots));
    }
}
