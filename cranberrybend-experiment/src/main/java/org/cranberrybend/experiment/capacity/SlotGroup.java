package org.cranberrybend.experiment.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.AdmissionDecision;
import org.cranberrybend.core.admission.DispatchQueue;
import org.cranberrybend.core.admission.DispatchSettings;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.router.shard.SlotMessages;
import org.cranberrybend.wire.generated.Envelope;

/** Costs of slot messages between an entry router and a shard owner, and of the owner's dispatch queue. */
final class SlotGroup implements CapacityGroup {
    private static final int[] REQUESTS = {100, 300, 1_000};
    private static final int[] WAITING = {10, 100, 500};
    private static final int[] UPSTREAMS = {2, 4, 8};
    private static final int FIXED_WAITING = 100;
    private static final int FIXED_UPSTREAMS = 8;
    private static final int OPERATIONS = 200;
    private static final int ACCOUNTS = 200;
    private static final String OWNER = "entry-szeged-a-0042/router";
    private static final SlotOutcome OUTCOME = new SlotOutcome(SlotResult.COMPLETED, 800, 390, 400, 17_000);

    @Override
    public String name() {
        return "slots";
    }

    @Override
    public List<SlopeMeasurement> measure() {
        Series bytes = new Series("slot request, grant and release frames", "requests", "bytes");
        Series cpu = new Series("CPU of a remote grant and release, both sides, idle queue", "requests", "us");
        for (int requests : REQUESTS) {
            SlotExchange exchange = new SlotExchange();
            bytes.add(requests, exchange.run(requests));
            cpu.add(requests, ResourceMeter.medianCpuUs(() -> exchange.run(requests)));
        }
        Series byWaiting = new Series("CPU of offer, dispatch and release; 8 upstreams", "waiting requests", "us");
        for (int waiting : WAITING) {
            byWaiting.add(waiting, queueUs(waiting, FIXED_UPSTREAMS));
        }
        Series byUpstreams = new Series("CPU of offer, dispatch and release; 100 waiting", "upstreams", "us");
        for (int upstreams : UPSTREAMS) {
            byUpstreams.add(upstreams, queueUs(FIXED_WAITING, upstreams));
        }
        return List.of(
                bytes.toMeasurement(), cpu.toMeasurement(), byWaiting.toMeasurement(), byUpstreams.toMeasurement());
    }

    private static double queueUs(int waiting, int upstreams) {
        LoadedQueue queue = new LoadedQueue(waiting, upstreams);
        return ResourceMeter.medianCpuUs(() -> queue.run(OPERATIONS)) / OPERATIONS;
    }

    private static DispatchQueue queue(int upstreams, int maxWaiting) {
        DispatchSettings settings =
                DispatchSettings.DEFAULT.withRefusal(false, false).withMaxWaiting(maxWaiting);
        DispatchQueue queue = new DispatchQueue(settings, OWNER, "slot-1-");
        List<Upstream> engines = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            engines.add(FleetFixture.upstream("engine-" + i, "szeged-a", "model-0"));
        }
        queue.setUpstreams(engines, 0);
        return queue;
    }

    private static QueuedRequest request(int number, long nowMs) {
        Tier tier = Tier.of(number % Tier.values().length);
        RequestClass requestClass = new RequestClass("class-" + tier.number(), tier, 850, 44, 0.1);
        return new QueuedRequest(
                "req-0123456789abcdef-" + number,
                "model-0",
                requestClass,
                "client-account-" + number % ACCOUNTS,
                1,
                800,
                390,
                nowMs,
                nowMs + 600_000,
                Set.of());
    }

    /** An entry router and a shard owner that exchange encoded frames without a network. */
    private static final class SlotExchange {
        private final DispatchQueue queue = queue(FIXED_UPSTREAMS, 512);
        private int number;
        private long nowMs;

        /** Sends requests one after the other and returns the bytes of all frames. */
        long run(int requests) {
            long bytes = 0;
            for (int i = 0; i < requests; i++) {
                nowMs += 10;
                Envelope.Builder offer = SlotMessages.request("szeged-a/model-0/s01", request(number++, nowMs), nowMs);
                bytes += Frames.bytes(offer);
                QueuedRequest received =
                        SlotMessages.queuedRequest(Frames.transfer(offer).getSlotRequest(), nowMs);
                AdmissionDecision decision = queue.offer(received, nowMs).get(0);
                Envelope.Builder granted = SlotMessages.granted(((AdmissionDecision.Granted) decision).grant());
                bytes += Frames.bytes(granted);
                SlotGrant grant = SlotMessages.grant(Frames.transfer(granted).getSlotGrant(), OWNER);
                Envelope.Builder release = SlotMessages.release(grant, OUTCOME);
                bytes += Frames.bytes(release);
                SlotOutcome outcome =
                        SlotMessages.outcome(Frames.transfer(release).getSlotRelease());
                queue.release(grant.slotId(), outcome, nowMs);
            }
            return bytes;
        }
    }

    /** A dispatch queue with all slots in use and a constant number of waiting requests. */
    private static final class LoadedQueue {
        private final DispatchQueue queue;
        private final Deque<String> slotIds = new ArrayDeque<>();
        private int number;
        private long nowMs;

        LoadedQueue(int waiting, int upstreams) {
            queue = queue(upstreams, 2 * waiting);
            while (queue.waitingCount() < waiting) {
                offer();
            }
        }

        private void offer() {
            nowMs += 10;
            recordGrants(queue.offer(request(number++, nowMs), nowMs));
        }

        void run(int operations) {
            for (int i = 0; i < operations; i++) {
                offer();
                recordGrants(queue.release(slotIds.removeFirst(), OUTCOME, nowMs));
            }
        }

        private void recordGrants(List<AdmissionDecision> decisions) {
            for (AdmissionDecision decision : decisions) {
                if (decision instanceof AdmissionDecision.Granted) {
                    slotIds.addLast(
                            ((AdmissionDecision.Granted) decision).grant().slotId());
                }
            }
        }
    }
}
