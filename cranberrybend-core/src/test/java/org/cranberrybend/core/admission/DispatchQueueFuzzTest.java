package org.cranberrybend.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.core.routing.UpstreamLoad;

/** Stateful property test of {@link DispatchQueue} against the model {@link QueueOracle}. */
class DispatchQueueFuzzTest {
    private static final String SEED = "20260801";
    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("question", Tier.TIER_0, 2_000, 100, 0),
            new RequestClass("layout", Tier.TIER_1, 5_000, 100, 0.1),
            new RequestClass("chat", Tier.TIER_2, 4_000, 100, 0),
            new RequestClass("plan", Tier.TIER_3, 20_000, 200, 0.2),
            new RequestClass("batch", Tier.TIER_3, 60_000, 200, 0));

    private enum Kind {
        OFFER,
        RELEASE,
        CANCEL,
        ADVANCE,
        ANNOUNCE,
        REPEAT
    }

    private record Operation(Kind kind, int choice, int account, int tokens, int detail) {}

    @Provide
    Arbitrary<Operation> operations() {
        // Offers are the most frequent operation, so that the queue becomes full.
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(10, Kind.OFFER),
                Tuple.of(4, Kind.RELEASE),
                Tuple.of(1, Kind.CANCEL),
                Tuple.of(2, Kind.ADVANCE),
                Tuple.of(1, Kind.ANNOUNCE),
                Tuple.of(1, Kind.REPEAT));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 999),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 400),
                        Arbitraries.integers().between(0, 63))
                .as(Operation::new);
    }

    private static Upstream engine(int number, int slots, boolean leaving) {
        return new Upstream(
                "engine-" + number,
                "szeged-a",
                "alfold",
                "127.0.0.1",
                9_000 + number,
                UpstreamKind.ENGINE,
                Set.of("stub"),
                slots,
                Market.GUARANTEED,
                true,
                leaving);
    }

    private static QueuedRequest request(
            int number, RequestClass requestClass, String account, int tokens, long nowMs, Set<String> excluded) {
        return new QueuedRequest(
                "r" + number,
                "stub",
                requestClass,
                account,
                1,
                tokens,
                tokens,
                nowMs,
                nowMs + requestClass.firstTokenTargetMs() + 5_000,
                excluded);
    }

    /** Applies operations to a queue and its oracle and compares them after each one. */
    private static final class Run {
        private final DispatchQueue queue;
        private final QueueOracle oracle = new QueueOracle();
        private final List<QueuedRequest> offered = new ArrayList<>();
        private long nowMs = 1_000;

        Run(int maxWaiting) {
            queue = new DispatchQueue(DispatchSettings.DEFAULT.withMaxWaiting(maxWaiting), "entry-1/router", "e1-");
            announce(63);
        }

        void announce(int mask) {
            List<Upstream> upstreams = IntStream.range(0, 4)
                    .filter(number -> (mask >> number & 1) == 1)
                    .mapToObj(number -> engine(number, 1 + number, (mask >> 4 & 3) == 0 && number == 1))
                    .toList();
            oracle.announced(upstreams);
            oracle.check(queue.setUpstreams(upstreams, nowMs), nowMs);
        }

        void offer(Operation operation) {
            RequestClass requestClass = CLASSES.get(operation.choice() % CLASSES.size());
            Set<String> excluded = operation.detail() == 0 ? Set.of("engine-1") : Set.of();
            QueuedRequest request = request(
                    offered.size(),
                    requestClass,
                    "account-" + operation.account(),
                    operation.tokens(),
                    nowMs,
                    excluded);
            offered.add(request);
            oracle.offered(request);
            oracle.check(queue.offer(request, nowMs), nowMs);
        }

        void release(Operation operation) {
            if (oracle.running.isEmpty()) {
                return;
            }
            SlotGrant grant = oracle.running.get(operation.choice() % oracle.running.size());
            SlotResult result =
                    operation.detail() < 56 ? SlotResult.COMPLETED : SlotResult.values()[operation.detail() % 5];
            oracle.released(grant, result);
            SlotOutcome outcome =
                    new SlotOutcome(result, operation.tokens(), operation.tokens(), 50, 50 + 20L * operation.tokens());
            oracle.check(queue.release(grant.slotId(), outcome, nowMs), nowMs);
            assertWithMessage("repeated release")
                    .that(queue.release(grant.slotId(), outcome, nowMs))
                    .isEmpty();
        }

        void apply(Operation operation) {
            switch (operation.kind()) {
                case OFFER -> offer(operation);
                case RELEASE -> release(operation);
                case CANCEL -> {
                    if (!offered.isEmpty()) {
                        String id =
                                offered.get(operation.choice() % offered.size()).requestId();
                        oracle.check(queue.cancel(id), nowMs);
                    }
                }
                case ADVANCE -> {
                    nowMs += operation.tokens() * 5L;
                    oracle.check(queue.dispatch(nowMs), nowMs);
                }
                case ANNOUNCE -> announce(operation.detail() | 1 << operation.choice() % 4);
                case REPEAT -> oracle.waiting.values().stream()
                        .skip(operation.choice() % Math.max(1, oracle.waiting.size()))
                        .findFirst()
                        .ifPresent(request -> oracle.check(queue.offer(request, nowMs), nowMs));
                default -> throw new IllegalStateException("unknown operation " + operation.kind());
            }
            assertThat(queue.waitingCount()).isEqualTo(oracle.waiting.size());
            assertThat(queue.slotsInUse()).isEqualTo(oracle.running.size());
            for (UpstreamLoad load : queue.loads()) {
                String id = load.upstream().id();
                assertWithMessage("in flight of " + id).that(load.inFlight()).isEqualTo(queue.slotsInUse(id));
            }
        }

        void finish() {
            nowMs += 100_000;
            oracle.check(queue.dispatch(nowMs), nowMs);
            for (SlotGrant grant : List.copyOf(oracle.running)) {
                oracle.released(grant, SlotResult.CANCELLED);
                SlotOutcome outcome = new SlotOutcome(SlotResult.CANCELLED, 0, 0, -1, 1);
                oracle.check(queue.release(grant.slotId(), outcome, nowMs), nowMs);
            }
            assertWithMessage("every request has one decision")
                    .that(oracle.decisions())
                    .isEqualTo(offered.size());
            assertWithMessage("slots in use at the end")
                    .that(queue.slotsInUse())
                    .isEqualTo(0);
            queue.loads().forEach(load -> assertThat(load.inFlight()).isEqualTo(0));
        }
    }

    // Invariants under any sequence of operations: no request is shed while one of a lower tier waits, every request
    // gets one decision, and slot limits and slot counts hold.
    @Property(tries = 400, seed = SEED)
    void keepsInvariantsUnderAnyOperations(
            @ForAll("operations") Operation first,
            @ForAll @Size(min = 20, max = 250) List<@From("operations") Operation> operations,
            @ForAll @IntRange(min = 1, max = 12) int maxWaiting) {
        Run run = new Run(maxWaiting);
        run.apply(first);
        operations.forEach(run::apply);
        run.finish();
    }

    // Invariant: a backlogged class of the lowest tier gets its guaranteed share
    // even if the higher tiers alone exceed the capacity.
    @Property(tries = 100, seed = SEED)
    void servesGuaranteedShareUnderFlood(
            @ForAll @IntRange(min = 5, max = 30) int sharePercent,
            @ForAll @IntRange(min = 1, max = 400) int floodTokens,
            @ForAll @IntRange(min = 1, max = 400) int lowTokens,
            @ForAll @IntRange(min = 1, max = 20) int maxWaiting) {
        RequestClass low = new RequestClass("low", Tier.TIER_3, 3_600_000, 1_000, sharePercent / 100.0);
        DispatchQueue queue =
                new DispatchQueue(DispatchSettings.DEFAULT.withMaxWaiting(maxWaiting), "entry-1/router", "e1-");
        List<SlotGrant> running = new ArrayList<>();
        queue.setUpstreams(List.of(engine(1, 4, false)), 0);
        double served = 0;
        double servedLow = 0;
        for (int step = 0; step < 1_500; step++) {
            List<AdmissionDecision> decisions = new ArrayList<>();
            decisions.addAll(queue.offer(request(3 * step, CLASSES.get(0), "a", floodTokens, step, Set.of()), step));
            decisions.addAll(
                    queue.offer(request(3 * step + 1, CLASSES.get(1), "b", floodTokens, step, Set.of()), step));
            decisions.addAll(queue.offer(request(3 * step + 2, low, "c", lowTokens, step, Set.of()), step));
            if (running.size() == 4) {
                SlotGrant oldest = running.remove(0);
                boolean isLow = Integer.parseInt(oldest.requestId().substring(1)) % 3 == 2;
                int tokens = isLow ? lowTokens : floodTokens;
                served += 2 * tokens;
                servedLow += isLow ? 2 * tokens : 0;
                SlotOutcome outcome = new SlotOutcome(SlotResult.COMPLETED, tokens, tokens, 10, 10 + tokens);
                decisions.addAll(queue.release(oldest.slotId(), outcome, step));
            }
            for (AdmissionDecision decision : decisions) {
                if (decision instanceof AdmissionDecision.Granted granted) {
                    running.add(granted.grant());
                }
            }
        }
        // Tolerance: one request served ahead of its credit, and the requests still running in the four slots.
        double allowance = 2 * (lowTokens + 4.0 * Math.max(lowTokens, floodTokens));
        assertThat(servedLow).isAtLeast(served * sharePercent / 100.0 - allowance);
    }

    // Waiting requests of a lower tier must not increase the predicted time to first token of a higher tier and so
    // cause its early refusal.
    @Property(tries = 200, seed = SEED)
    void lowerTierNeverCausesEarlyRefusal(
            @ForAll @IntRange(min = 0, max = 200) int lowerWaiting,
            @ForAll @IntRange(min = 1, max = 300) int tokens,
            @ForAll @IntRange(min = 0, max = 3) int ahead) {
        assertThat(decisionAfter(lowerWaiting, tokens, ahead)).isEqualTo(decisionAfter(0, tokens, ahead));
    }

    private static List<AdmissionDecision> decisionAfter(int lowerWaiting, int tokens, int ahead) {
        DispatchQueue queue = new DispatchQueue(DispatchSettings.DEFAULT, "entry-1/router", "e1-");
        queue.setUpstreams(List.of(engine(1, 2, false)), 0);
        for (int number = 0; number < 20; number++) {
            queue.offer(request(number, CLASSES.get(2), "a", 10, 0, Set.of()), 0);
            SlotOutcome outcome = new SlotOutcome(SlotResult.COMPLETED, 10, 10, 100, 100 + 9 * 20);
            queue.release("e1-" + (number + 1), outcome, 0);
        }
        int next = 100;
        for (int count = 0; count < 2 + ahead; count++) {
            queue.offer(request(next++, CLASSES.get(0), "a", tokens, 0, Set.of()), 0);
        }
        for (int count = 0; count < lowerWaiting; count++) {
            queue.offer(request(1_000 + count, CLASSES.get(4), "b", tokens, 0, Set.of()), 0);
        }
        return queue.offer(request(next, CLASSES.get(0), "a", tokens, 0, Set.of()), 0);
    }
}
