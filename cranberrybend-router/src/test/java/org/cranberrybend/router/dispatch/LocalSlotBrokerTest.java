package org.cranberrybend.router.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
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
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.router.FakeProcess;
import org.cranberrybend.router.RouterHarness;
import org.junit.jupiter.api.Test;

/** Slots are granted by tier and arrival, never beyond the capacity of an upstream. */
class LocalSlotBrokerTest {
    private final ManualTimeSource timeSource = new ManualTimeSource(0);
    private final FakeProcess process = new FakeProcess();
    private final LocalSlotBroker broker = new LocalSlotBroker("entry-1/router", process, timeSource);

    private static Upstream upstream(String id, int slots) {
        return new Upstream(
                id,
                "zone-a",
                "region-1",
                "127.0.0.1",
                1,
                UpstreamKind.ENGINE,
                Set.of("model-a"),
                slots,
                Market.GUARANTEED,
                false,
                false);
    }

    private static QueuedRequest request(String id, int tier, long arrivalMs, Set<String> excluded) {
        RequestClass requestClass = new RequestClass("class-" + tier, Tier.of(tier), 850, 44, 0);
        return new QueuedRequest(id, "model-a", requestClass, "clerk", 1, 1, 1, arrivalMs, 1_000, excluded);
    }

    private SlotGrant acquire(String id) throws Exception {
        return broker.acquire(request(id, 0, 0, Set.of()), "zone-a", () -> false);
    }

    private CompletableFuture<SlotGrant> enqueue(QueuedRequest request) {
        int before = broker.waitingCount();
        CompletableFuture<SlotGrant> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                result.complete(broker.acquire(request, "zone-a", () -> false));
            } catch (RequestFailedException | InterruptedException e) {
                result.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        if (before < 256) {
            RouterHarness.await(() -> broker.waitingCount() > before || result.isDone());
        }
        return result;
    }

    private void release(SlotGrant grant, SlotResult result) {
        broker.release(grant, new SlotOutcome(result, 0, 0, -1, 0));
    }

    /** Guards against serving a lower tier before a higher one, and against serving a later arrival first. */
    @Test
    void servesByTierThenArrival() throws Exception {
        process.setUpstreams(List.of(upstream("engine-1", 1)));
        SlotGrant running = acquire("first");
        List<CompletableFuture<SlotGrant>> expectedOrder = new ArrayList<>();
        CompletableFuture<SlotGrant> late = enqueue(request("late", 1, 20, Set.of()));
        CompletableFuture<SlotGrant> low = enqueue(request("low", 3, 5, Set.of()));
        CompletableFuture<SlotGrant> early = enqueue(request("early", 1, 10, Set.of()));
        CompletableFuture<SlotGrant> high = enqueue(request("high", 0, 30, Set.of()));
        expectedOrder.addAll(List.of(high, early, late, low));
        for (CompletableFuture<SlotGrant> next : expectedOrder) {
            assertThat(broker.slotsInUse()).isEqualTo(1);
            release(running, SlotResult.COMPLETED);
            running = next.get();
        }
    }

    /** Guards against uneven load on upstreams and against preferring one that failed recently. */
    @Test
    void choosesTheUpstreamWithTheFewestSlotsInUse() throws Exception {
        process.setUpstreams(List.of(upstream("engine-1", 4), upstream("engine-2", 4)));
        SlotGrant first = acquire("a");
        assertThat(first.upstream().id()).isEqualTo("engine-1");
        assertThat(acquire("b").upstream().id()).isEqualTo("engine-2");
        release(first, SlotResult.FAILED);
        assertThat(acquire("c").upstream().id()).isEqualTo("engine-2");
        timeSource.advanceMs(2_000);
        assertThat(acquire("d").upstream().id()).isEqualTo("engine-1");
    }

    /** Guards against shedding a request of a higher tier instead of a lower one when the queue is full. */
    @Test
    void fullQueueShedsTheNewestOfTheLowestTier() throws Exception {
        process.setUpstreams(List.of(upstream("engine-1", 1)));
        acquire("running");
        CompletableFuture<SlotGrant> low = null;
        for (int i = 0; i < 256; i++) {
            low = enqueue(request("low-" + i, 3, i, Set.of()));
        }
        CompletableFuture<SlotGrant> high = enqueue(request("high", 0, 999, Set.of()));
        assertShed(low);
        assertThat(high.isDone()).isFalse();
        assertShed(enqueue(request("low-last", 3, 1_000, Set.of())));
        assertThat(broker.waitingCount()).isEqualTo(256);
    }

    private static void assertShed(CompletableFuture<SlotGrant> refused) {
        ExecutionException failure = assertThrows(ExecutionException.class, refused::get);
        assertThat(((RequestFailedException) failure.getCause()).code()).isEqualTo(ErrorCode.SHED);
    }

    /** Guards against waiting for an upstream that already failed the request or is no longer listed. */
    @Test
    void refusesWhenNoUpstreamIsLeft() throws Exception {
        process.setUpstreams(List.of(upstream("engine-1", 1)));
        RequestFailedException excluded = assertThrows(
                RequestFailedException.class,
                () -> broker.acquire(request("a", 0, 0, Set.of("engine-1")), "zone-a", () -> false));
        assertThat(excluded.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
        acquire("running");
        CompletableFuture<SlotGrant> waiting = enqueue(request("b", 0, 0, Set.of()));
        process.setUpstreams(List.of());
        ExecutionException failure = assertThrows(ExecutionException.class, waiting::get);
        assertThat(((RequestFailedException) failure.getCause()).code()).isEqualTo(ErrorCode.NO_UPSTREAM);
        assertThat(broker.waitingCount()).isEqualTo(0);
    }
}
