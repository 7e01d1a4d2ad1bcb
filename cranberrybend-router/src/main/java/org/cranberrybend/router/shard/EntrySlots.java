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
 * Requests of this entry router that wait for a slot, and the slots in use by it.
 *
 * <p>Edge cases: a grant for a request that no longer waits is given back at once; a repeated grant of a slot in use is
 * ignored, because owners repeat a grant when a request is asked for again.
 */
final class EntrySlots implements SlotReplies {
    private final Consumer<SlotGrant> giveBack;
    private final Object lock = new Object();
    private final Map<String, PendingSlot> pending = new HashMap<>();
    private final Map<String, SlotGrant> inUse = new HashMap<>();

    /** Creates the table; {@code giveBack} releases an unwanted slot and is called without locks. */
    EntrySlots(PeerMessenger messenger, Consumer<SlotGrant> giveBack) {
        this.giveBack = giveBack;
        messenger.register(Envelope.BodyCase.SLOT_GRANT, this::onGrant);
        messenger.register(Envelope.BodyCase.SLOT_REFUSAL, this::onRefusal);
        messenger.register(Envelope.BodyCase.SLOTS_IN_USE_QUERY, this::onQuery);
    }

    PendingSlot open(String requestId) {
        PendingSlot slot = new PendingSlot();
        synchronized (lock) {
            pending.put(requestId, slot);
        }
        return slot;
    }

    /** Ends the wait of a request; slots granted meanwhile are given back. */
    void close(String requestId, PendingSlot slot) throws InterruptedException {
        synchronized (lock) {
            pending.remove(requestId, slot);
        }
        for (PendingSlot.Answer answer = slot.poll(0); answer != null; answer = slot.poll(0)) {
            if (answer instanceof PendingSlot.Answer.Granted) {
                giveBack.accept(((PendingSlot.Answer.Granted) answer).grant());
            }
        }
    }

    void use(SlotGrant grant) {
        synchronized (lock) {
            inUse.put(grant.slotId(), grant);
        }
    }

    void endUse(SlotGrant grant) {
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
    List<SlotInUse> slotsOn(Collection<String> upstreamIds) {
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
            PendingSlot waiting = pending.get(grant.requestId());
            if (waiting != null) {
                waiting.add(new PendingSlot.Answer.Granted(grant));
                return;
            }
        }
        giveBack.accept(grant);
    }

    @Override
    public void refused(String requestId, ErrorCode code, long retryAfterMs) {
        answer(requestId, new PendingSlot.Answer.Refused(code, retryAfterMs));
    }

    @Override
    public void moved(String requestId) {
        answer(requestId, new PendingSlot.Answer.Moved());
    }

    private void answer(String requestId, PendingSlot.Answer answer) {
        synchronized (lock) {
            PendingSlot waiting = pending.get(requestId);
            if (waiting != null) {
                waiting.add(answer);
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
        List<SlotInUse> slots = slotsOn(message.getSlotsInUseQuery().getUpstreamIdsList());
        return Optional.of(SlotMessages.slotsInUse(slots));
    }
}
