package org.cranberrybend.controller.scaling;

import static com.google.common.truth.Truth.assertThat;

import org.cranberrybend.core.routing.Market;
import org.junit.jupiter.api.Test;

/** Single cases in the zone whose rules the fuzzing checks. */
class ScalingOrderSourceTest {
    private static final int SETTLE_SECONDS = 120;

    private final SimulatedZone zone = new SimulatedZone();

    private int running() {
        return zone.running(Market.GUARANTEED) + zone.running(Market.PREEMPTIBLE);
    }

    // Guards against a loss that waits for the hold time or is replaced by nothing.
    @Test
    void reclaimedUpstreamsAreReplacedAtOnce() {
        zone.setDemand(5, 1);
        zone.pass(SETTLE_SECONDS);
        assertThat(running()).isEqualTo(5);
        assertThat(zone.running(Market.PREEMPTIBLE)).isEqualTo(3);

        zone.reclaim();
        zone.pass(2);

        assertThat(zone.running(Market.PREEMPTIBLE)).isEqualTo(3);
    }

    // Guards against a zone that waits for preemptible upstreams that the platform does not have.
    @Test
    void guaranteedUpstreamsReplaceUnavailableOnes() {
        zone.setDemand(5, 1);
        zone.pass(SETTLE_SECONDS);
        zone.preemptibleAvailable = false;
        zone.reclaim();
        zone.pass(4);

        assertThat(zone.running(Market.GUARANTEED)).isEqualTo(5);
    }

    // Guards against a second upstream while a drained one could serve, and against a drain that has no effect.
    @Test
    void drainIsTakenBackWhenDemandReturns() {
        zone.setDemand(4, 4);
        zone.pass(SETTLE_SECONDS);
        for (int slot = 0; slot < 4; slot++) {
            zone.routers.get(0).holdSlot(slot);
        }
        zone.setDemand(1, 4);
        zone.pass(60);
        int draining = zone.drainingCount();
        assertThat(draining).isAtLeast(1);
        assertThat(zone.orders.received()).hasSize(4);

        zone.setDemand(4, 4);
        zone.pass(SETTLE_SECONDS);

        assertThat(zone.drainingCount()).isEqualTo(0);
        assertThat(zone.orders.received()).hasSize(4);
    }

    // Guards against an upstream that one endless request keeps for ever.
    @Test
    void busyUpstreamIsStoppedAfterTheLimit() {
        zone.setDemand(2, 4);
        zone.pass(SETTLE_SECONDS);
        zone.routers.get(0).holdSlot(0);
        zone.routers.get(0).holdSlot(1);
        zone.setDemand(0, 0);
        zone.pass(60);
        assertThat(running()).isEqualTo(2);

        zone.routers.get(0).reportsToLose = 100;
        zone.pass(100);
        assertThat(running()).isEqualTo(1);
    }

    // Guards against a successor that stops upstreams because it has heard of a part of the demand only.
    @Test
    void nothingIsStoppedAfterTakeOverUntilDemandIsKnown() {
        zone.setDemand(2, 4);
        zone.pass(SETTLE_SECONDS);
        zone.routers.get(0).reportsToLose = Integer.MAX_VALUE;
        zone.controllers.get(0).pausedUntilMs = zone.time.monotonicMs() + 1_000_000;
        zone.pass(300);

        assertThat(zone.drainingCount()).isEqualTo(0);
        assertThat(running()).isEqualTo(2);
    }
}
