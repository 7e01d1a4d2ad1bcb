package org.cranberrybend.router.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.wire.generated.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// A lost request would wait without limit; the timeout ends such a run.
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetSlotBrokerTest {
    private static final int SLOTS = 2;
    private static final long CHECK_MS = 25;
    private static final String[] INSTANCES = {"szeged-1", "szeged-2", "szeged-3"};
    private static final SlotOutcome COMPLETED = new SlotOutcome(SlotResult.COMPLETED, 10, 10, 5, 50);

    private final FakeFleet fleet = new FakeFleet(
            List.of(new Upstream(
                    "engine-1",
                    "szeged-a",
                    "alfold",
                    "127.0.0.1",
                    1,
                    UpstreamKind.ENGINE,
                    Set.of("stub-writer"),
                    SLOTS,
                    Market.GUARANTEED,
                    true,
                    false)),
            INSTANCES);
    private final ExecutorService executor = Executors.newCachedThreadPool();

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private QueuedRequest request(String id) {
        RequestClass requestClass = new RequestClass("counter", Tier.TIER_1, 600_000, 100, 0.1);
        long nowMs = fleet.clock.monotonicMs();
        return new QueuedRequest(id, "stub-writer", requestClass, "acme", 1, 10, 10, nowMs, nowMs + 600_000, Set.of());
    }

    private SlotGrant acquire(String instance, String id) throws RequestFailedException, InterruptedException {
        return fleet.broker(instance).acquire(request(id), "szeged-a", () -> false);
    }

    private String instanceOtherThan(String... instances) {
        return List.of(INSTANCES).stream()
                .filter(each -> !List.of(instances).contains(each))
                .findFirst()
                .orElseThrow();
    }

    /** A request on its own thread; {@code finished} is set once it has a grant or a failure. */
    private record StartedRequest(Future<SlotGrant> result, AtomicBoolean finished) {
        SlotGrant get() throws Exception {
            return result.get();
        }
    }

    /** Starts a request and returns once it finished or its broker has checked its caller at least once. */
    private StartedRequest startWaiting(String instance, String id, BooleanSupplier callerDisconnected)
            throws InterruptedException {
        CountDownLatch waiting = new CountDownLatch(1);
        AtomicBoolean finished = new AtomicBoolean();
        QueuedRequest request = request(id);
        Future<SlotGrant> result = executor.submit(() -> {
            try {
                return fleet.broker(instance).acquire(request, "szeged-a", () -> {
                    waiting.countDown();
                    // The clock must advance for a slot request with the reply "moved" to be resent.
                    fleet.clock.advanceMs(CHECK_MS);
                    return callerDisconnected.getAsBoolean();
                });
            } finally {
                finished.set(true);
                waiting.countDown();
            }
        });
        waiting.await();
        return new StartedRequest(result, finished);
    }

    // Guards against two entry routers that overcommit an engine, and against slots that are never released.
    @Test
    void slotsAreCountedOnceOverAllEntryRouters() throws Exception {
        SlotGrant first = acquire(INSTANCES[0], "a");
        acquire(INSTANCES[1], "b");
        StartedRequest third = startWaiting(INSTANCES[2], "c", () -> false);
        assertThat(third.finished().get()).isFalse();

        fleet.broker(INSTANCES[0]).release(first, COMPLETED);

        assertThat(third.get().upstream().id()).isEqualTo("engine-1");
    }

    // Guards against a new shard owner that overcommits an engine because it does not know the slots in use.
    @Test
    void newOwnerTakesOverSlotsInUse() throws Exception {
        String owner = fleet.owner();
        String entry = instanceOtherThan(owner);
        SlotGrant first = acquire(entry, "a");
        acquire(entry, "b");

        fleet.kill(owner);
        StartedRequest third = startWaiting(entry, "c", () -> false);

        assertThat(third.finished().get()).isFalse();
        fleet.broker(entry).release(first, COMPLETED);
        assertThat(third.get().ownerMemberId()).isNotEqualTo(owner + "/router");
    }

    // Guards against a waiting request that is lost when the shard owner dies.
    @Test
    void waitingRequestMovesToTheNewOwner() throws Exception {
        String owner = fleet.owner();
        String entry = instanceOtherThan(owner);
        List<SlotGrant> grants = new ArrayList<>(List.of(acquire(entry, "a"), acquire(entry, "b")));
        StartedRequest waiting = startWaiting(entry, "c", () -> false);

        fleet.kill(owner);
        fleet.broker(entry).release(grants.get(0), COMPLETED);

        assertThat(waiting.get().requestId()).isEqualTo("c");
    }

    // Guards against slots that are never released because their entry router died.
    @Test
    void slotsOfDeadEntryRouterAreFreed() throws Exception {
        String owner = fleet.owner();
        String entry = instanceOtherThan(owner);
        String survivor = instanceOtherThan(owner, entry);
        acquire(entry, "a");
        acquire(entry, "b");
        StartedRequest waiting = startWaiting(survivor, "c", () -> false);

        fleet.kill(entry);

        assertThat(waiting.get().requestId()).isEqualTo("c");
    }

    // Guards against a slot that stays in use and a request that waits on after the grant message was lost.
    @Test
    void lostGrantIsRepeated() throws Exception {
        String entry = instanceOtherThan(fleet.owner());
        AtomicInteger grants = new AtomicInteger();
        fleet.dropMessages(
                message -> message.getBodyCase() == Envelope.BodyCase.SLOT_GRANT && grants.getAndIncrement() == 0);
        StartedRequest waiting = startWaiting(entry, "a", () -> {
            fleet.clock.advanceMs(100);
            return false;
        });

        assertThat(waiting.get().requestId()).isEqualTo("a");
        assertThat(grants.get()).isAtLeast(2);
    }

    // Guards against granting slots to requests of callers that have disconnected.
    @Test
    void requestOfDisconnectedCallerLeavesTheQueue() throws Exception {
        String owner = fleet.owner();
        String entry = instanceOtherThan(owner);
        SlotGrant first = acquire(entry, "a");
        acquire(entry, "b");
        AtomicBoolean disconnected = new AtomicBoolean();
        StartedRequest cancelled = startWaiting(entry, "c", disconnected::get);
        StartedRequest next = startWaiting(entry, "d", () -> false);

        disconnected.set(true);
        assertThrows(Exception.class, cancelled::get);
        fleet.broker(entry).release(first, COMPLETED);

        assertThat(next.get().requestId()).isEqualTo("d");
    }

    // Guards against a request for a model without upstreams that waits until its deadline.
    @Test
    void unknownPoolIsRefusedAtOnce() {
        RequestFailedException failure = assertThrows(RequestFailedException.class, () -> fleet.broker(INSTANCES[0])
                .acquire(request("a"), "nowhere", () -> false));

        assertThat(failure.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    }
}
