package org.cranberrybend.router.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.cranberrybend.wire.generated.DemandAck;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// A lost reply would be waited for without limit; the timeout ends such a run.
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DemandReporterTest {
    private static final String ENTRY = "szeged-1";

    private final FakeFleet fleet = new FakeFleet(
            List.of(new Upstream(
                    "engine-1",
                    "szeged-a",
                    "alfold",
                    "127.0.0.1",
                    1,
                    UpstreamKind.ENGINE,
                    Set.of("stub-writer"),
                    2,
                    Market.GUARANTEED,
                    true,
                    false)),
            ENTRY,
            "szeged-2");

    private SlotGrant acquire(String id) throws RequestFailedException, InterruptedException {
        RequestClass requestClass = new RequestClass("counter", Tier.TIER_1, 600_000, 100, 0.1);
        long nowMs = fleet.clock.monotonicMs();
        QueuedRequest request =
                new QueuedRequest(id, "stub-writer", requestClass, "acme", 1, 10, 20, nowMs, nowMs + 600_000, Set.of());
        return fleet.broker(ENTRY).acquire(request, "szeged-a", () -> {
            fleet.clock.advanceMs(100);
            return false;
        });
    }

    private static DemandAck ack(long fencingNumber, long version, String... draining) {
        return DemandAck.newBuilder()
                .setFencingNumber(fencingNumber)
                .setVersion(version)
                .addAllDrainingUpstreams(List.of(draining))
                .build();
    }

    private PoolDemand pool(Map<String, DemandReport> reports) {
        assertThat(reports).hasSize(2);
        List<PoolDemand> pools = reports.values().stream()
                .flatMap(report -> report.getPoolsList().stream())
                .toList();
        assertThat(pools).hasSize(1);
        return pools.get(0);
    }

    // Guards against demand that is counted twice or not at all, and against routers without shards that do not report.
    @Test
    void ownerReportsOfferedAndServedDemand() throws Exception {
        fleet.replyToReports(ack(0, 0));
        assertThat(fleet.owner()).isNotEqualTo(ENTRY);
        AtomicInteger grants = new AtomicInteger();
        // The slot request is resent after a second, which must not count as further demand.
        fleet.dropMessages(message -> message.hasSlotGrant() && grants.getAndIncrement() == 0);
        SlotGrant grant = acquire("a");
        assertThat(grants.get()).isAtLeast(2);
        acquire("b");
        fleet.broker(ENTRY).release(grant, new SlotOutcome(SlotResult.COMPLETED, 10, 5, 5, 300));

        PoolDemand pool = pool(fleet.reportDemand());

        assertThat(pool.getService()).isEqualTo("stub-writer");
        assertThat(pool.getTiers(1).getOfferedTokens()).isEqualTo(60);
        assertThat(pool.getTiers(1).getWaitingRequests()).isEqualTo(0);
        assertThat(pool.getServedTokens()).isEqualTo(15);
        assertThat(pool.getServedExpectedTokens()).isEqualTo(30);
        assertThat(pool.getServedSlotMs()).isEqualTo(300);
        assertThat(pool.getSlotsInUse()).isEqualTo(1);
        assertThat(pool.getSlots()).isEqualTo(2);
        assertThat(pool.getGuaranteedUpstreams()).isEqualTo(1);
    }

    // Guards against new requests to an upstream that is about to be stopped,
    // and against a drain that cannot be revoked.
    @Test
    void drainingUpstreamGetsNoRequestsUntilTheDrainIsRevoked() throws Exception {
        SlotGrant running = acquire("a");
        fleet.replyToReports(ack(1, 1, "engine-1"));
        fleet.reportDemand();

        assertThat(assertThrows(RequestFailedException.class, () -> acquire("b"))
                        .code())
                .isEqualTo(ErrorCode.NO_UPSTREAM);
        for (DemandReport report : fleet.reportDemand().values()) {
            assertThat(report.getDrainFencingNumber()).isEqualTo(1);
            assertThat(report.getDrainVersion()).isEqualTo(1);
        }
        assertThat(fleet.reportDemand().get(fleet.owner()).getBusyDrainingUpstreamsList())
                .containsExactly("engine-1");
        fleet.broker(ENTRY).release(running, new SlotOutcome(SlotResult.COMPLETED, 10, 5, 5, 300));
        fleet.reportDemand().values().forEach(report -> assertThat(report.getBusyDrainingUpstreamsList())
                .isEmpty());

        fleet.replyToReports(ack(1, 2));
        fleet.reportDemand();
        assertThat(acquire("c").upstream().id()).isEqualTo("engine-1");
    }

    // Guards against a reply of a former lease holder, or a delayed reply, that changes the drain.
    @Test
    void outdatedRepliesAreIgnored() {
        fleet.replyToReports(ack(2, 3, "engine-1"));
        fleet.reportDemand();
        for (DemandAck older : List.of(ack(2, 2), ack(1, 9), ack(0, 0))) {
            fleet.replyToReports(older);
            fleet.reportDemand();
            assertThrows(RequestFailedException.class, () -> acquire("a"));
        }
    }

    // Guards against an upstream that stays unused after its order controller failed,
    // and against a stop order that relies on a drain that is about to expire.
    @Test
    void drainEndsWithoutLeaseHolder() throws Exception {
        fleet.replyToReports(ack(1, 1, "engine-1"));
        fleet.reportDemand();
        fleet.replyToReports(ack(0, 0));

        fleet.clock.advanceMs(10_000);
        fleet.reportDemand().values().forEach(report -> assertThat(report.getDrainVersion())
                .isEqualTo(0));
        assertThrows(RequestFailedException.class, () -> acquire("a"));
        fleet.clock.advanceMs(10_000);
        fleet.reportDemand();

        assertThat(acquire("b").upstream().id()).isEqualTo("engine-1");
    }
}
