package org.cranberrybend.controller.scaling;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.cranberrybend.controller.testing.CallFault;
import org.cranberrybend.core.routing.Market;

/**
 * Runs random schedules of demand changes, faults and lease takeovers. {@link SimulatedZone} checks every order that it
 * receives.
 */
class ScalingFuzzTest {
    private static final String SEED = "20261207";
    /** Covers a lease takeover, the scale-down delay of every surplus upstream, and the drain limit. */
    private static final int SETTLE_SECONDS = 400;

    private enum Action {
        ADVANCE_TIME,
        SET_DEMAND,
        HOLD_SLOT,
        RELEASE_SLOTS,
        LOSE_REPORTS,
        LOSE_ACKNOWLEDGEMENTS,
        REPEAT_REPORTS,
        RESTART_ROUTER,
        PAUSE_CONTROLLER,
        RECLAIM,
        SET_AVAILABILITY,
        STORE_FAULTS,
        LEASE_FAULTS,
        ORDER_FAULTS
    }

    private record Step(Action action, int which, int value) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequencyOf(
                Tuple.of(3, Arbitraries.of(Action.ADVANCE_TIME, Action.SET_DEMAND, Action.HOLD_SLOT)),
                Tuple.of(2, Arbitraries.of(Action.values())));
        return Combinators.combine(
                        actions,
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, 63))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    private static List<CallFault> faults(int code) {
        List<CallFault> faults = new ArrayList<>();
        for (int rest = code; rest > 0; rest /= 4) {
            faults.add(CallFault.values()[rest % 4]);
        }
        return faults;
    }

    private static void run(SimulatedZone zone, Step step) {
        SimulatedRouter router = zone.routers.get(step.which());
        int value = step.value();
        switch (step.action()) {
            case ADVANCE_TIME -> zone.advanceSeconds(value);
            case SET_DEMAND -> zone.setDemand(value % (SimulatedZone.MAX_UPSTREAMS + 1), value / 16);
            case HOLD_SLOT -> router.holdSlot(value);
            case RELEASE_SLOTS -> router.releaseSlots();
            case LOSE_REPORTS -> router.reportsToLose = value / 4;
                // At most 7 are lost, because a router uses drained upstreams again after 20 s without an
                // acknowledgement. The tests of the router cover that case.
            case LOSE_ACKNOWLEDGEMENTS -> router.acknowledgementsToLose = value / 8;
            case REPEAT_REPORTS -> router.repeatReports = value % 2 == 0;
            case RESTART_ROUTER -> router.restart();
            case PAUSE_CONTROLLER -> zone.controllers.get(step.which()).pausedUntilMs =
                    zone.time.monotonicMs() + value * 1_000L;
            case RECLAIM -> zone.reclaim();
            case SET_AVAILABILITY -> zone.preemptibleAvailable = value % 2 == 0;
            case STORE_FAULTS -> zone.store.faults().failNext(faults(value));
            case LEASE_FAULTS -> zone.leases.faults().failNext(faults(value));
            case ORDER_FAULTS -> zone.orders.faults().failNext(faults(value));
            default -> throw new IllegalStateException(step.action().name());
        }
    }

    // Guards against orders beyond the maximum, duplicate orders, stops below the minimum or with slots in use,
    // upstreams that keep running without demand, and demand that is not served after the faults have ended.
    @Property(tries = 300, seed = SEED)
    void ordersFollowDemandWithinLimits(@ForAll("schedules") List<Step> schedule) {
        SimulatedZone zone = new SimulatedZone();
        schedule.forEach(step -> run(zone, step));

        zone.clearFaults();
        zone.setDemand(SimulatedZone.MAX_UPSTREAMS - 1, 1);
        zone.advanceSeconds(SETTLE_SECONDS);
        assertWithMessage("upstreams for the demand")
                .that(zone.running(Market.GUARANTEED) + zone.running(Market.PREEMPTIBLE))
                .isAtLeast(SimulatedZone.MAX_UPSTREAMS - 1);

        zone.setDemand(0, 0);
        zone.routers.forEach(SimulatedRouter::releaseSlots);
        zone.advanceSeconds(SETTLE_SECONDS);
        assertWithMessage("guaranteed upstreams without demand")
                .that(zone.running(Market.GUARANTEED))
                .isEqualTo(SimulatedZone.MIN_GUARANTEED);
        assertWithMessage("preemptible upstreams without demand")
                .that(zone.running(Market.PREEMPTIBLE))
                .isEqualTo(0);
    }
}
