package org.cranberrybend.controller.scaling;

import static com.google.common.truth.Truth.assertThat;

import org.cranberrybend.core.routing.Market;
import org.junit.jupiter.api.Test;

/** Single scenarios in a {@link SimulatedZone}, which also checks every order that it receives. */
class ScalingOrderSourceTest {
    private static final int SETTLE_SECONDS = 120;

    private final SimulatedZone zone = new SimulatedZone();

    private int running() {
        return zone.running(Market.GUARANTEED) + zone.running(Market.PREEMPTIBLE);
    }

    // Guards against a lost upstream that is replaced only after the scale-down delay or not at all.
    @Test
    void reclaimedUpstreamsAreReplacedAtOnce() {
        zone.setDemand(5, 1);
        zone.advanceSeconds(SETTLE_SECONDS);
        assertThat(running()).isEqualTo(5);
        assertThat(zone.running(Market.PREEMPTIBLE)).isEqualTo(3);

        zone.reclaim();
        zone.advanceSeconds(2);

        assertThat(zone.running(Market.PREEMPTIBLE)).isEqualTo(3);
    }

    // Guards against a zone that waits for preemptible upstreams while the platform has none available.
    @Test
    void guaranteedUpstreamsReplaceUnavailableOnes() {
        zone.setDemand(5, 1);
        zone.advanceSeconds(SETTLE_SECONDS);
        zone.preemptibleAvailable = false;
        zone.reclaim();
        zone.advanceSeconds(4);

        assertThat(zone.running(Market.GUARANTEED)).isEqualTo(5);
    }

    // Guards against a start order while a draining upstream could serve the demand,
    // and against a drain that is not canceled.
    @Test
    void drainIsCanceledWhenDemandReturns() {
        zone.setDemand(4, 4);
        zone.advanceSeconds(SETTLE_SECONDS);
        for (int slot = 0; slot < 4; slot++) {
            zone.routers.get(0).holdSlot(slot);
        }
        zone.setDemand(1, 4);
        zone.advanceSeconds(60);
        int draining = zone.drainingCount();
        assertThat(draining).isAtLeast(1);
        assertThat(zone.orders.received()).hasSize(4);

        zone.setDemand(4, 4);
        zone.advanceSeconds(SETTLE_SECONDS);

        assertThat(zone.drainingCount()).isEqualTo(0);
        assertThat(zone.orders.received()).hasSize(4);
    }

    // Guards against an upstream that is never stopped because one request on it does not end.
    @Test
    void busyUpstreamIsStoppedAfterTheLimit() {
        zone.setDemand(2, 4);
        zone.advanceSeconds(SETTLE_SECONDS);
        zone.routers.get(0).holdSlot(0);
        zone.routers.get(0).holdSlot(1);
        zone.setDemand(0, 0);
        zone.advanceSeconds(60);
        assertThat(running()).isEqualTo(2);

        zone.routers.get(0).reportsToLose = 100;
        zone.advanceSeconds(100);
        assertThat(running()).isEqualTo(1);
    }

    // Guards against a new lease holder that stops upstreams after only part of the demand was reported to it.
    @Test
    void nothingIsStoppedAfterTakeoverUntilDemandIsKnown() {
        zone.setDemand(2, 4);
        zone.advanceSeconds(SETTLE_SECONDS);
        zone.routers.get(0).reportsToLose = Integer.MAX_VALUE;
        zone.controllers.get(0).pausedUntilMs = zone.time.monotonicMs() + 1_000_000;
        zone.advanceSeconds(300);

        assertThat(zone.drainingCount()).isEqualTo(0);
        assertThat(running()).isEqualTo(2);
    }
}
