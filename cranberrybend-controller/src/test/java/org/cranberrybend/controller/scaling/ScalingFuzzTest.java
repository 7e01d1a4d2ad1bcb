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
import org.cranberrybend.controller.testing.StoreFault;
import org.cranberrybend.core.routing.Market;

/** Demand, faults and take-overs in any order against the rules of the orders, which the zone checks on arrival. */
class ScalingFuzzTest {
    private static final String SEED = "20261207";
    /** Long enough for a take-over, the hold time of every surplus upstream, and the drain limit. */
    private static final int SETTLE_SECONDS = 400;

    private enum Action {
        PASS,
        DEMAND,
        HOLD_SLOT,
        RELEASE_SLOTS,
        LOSE_REPORTS,
        LOSE_ANSWERS,
        REPEAT_REPORTS,
        RESTART_ROUTER,
        PAUSE_CONTROLLER,
        RECLAIM,
        AVAILABILITY,
        STORE_FAULTS,
        LEASE_FAULTS,
        ORDER_FAULTS
    }

    private record Step(Action action, int which, int value) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequencyOf(
                Tuple.of(3, Arbitraries.of(Action.PASS, Action.DEMAND, Action.HOLD_SLOT)),
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

    private static List<StoreFault> faults(int code) {
        List<StoreFault> faults = new ArrayList<>();
        for (int rest = code; rest > 0; rest /= 4) {
            faults.add(StoreFault.values()[rest % 4]);
        }
        return faults;
    }

    private static void run(SimulatedZone zone, Step step) {
        SimulatedRouter router = zone.routers.get(step.which());
        int value = step.value();
        switch (step.action()) {
            case PASS -> zone.pass(value);
            case DEMAND -> zone.setDemand(value % (SimulatedZone.BOUND + 1), value / 16);
            case HOLD_SLOT -> router.holdSlot(value);
            case RELEASE_SLOTS -> router.releaseSlots();
            case LOSE_REPORTS -> router.reportsToLose = value / 4;
                // A router uses drained upstreams again after 20 s without an answer, which the routers' tests cover.
            case LOSE_ANSWERS -> router.acksToLose = value / 8;
            case REPEAT_REPORTS -> router.repeatReports = value % 2 == 0;
            case RESTART_ROUTER -> router.restart();
            case PAUSE_CONTROLLER -> zone.controllers.get(step.which()).pausedUntilMs =
                    zone.time.monotonicMs() + value * 1_000L;
            case RECLAIM -> zone.reclaim();
            case AVAILABILITY -> zone.preemptibleAvailable = value % 2 == 0;
            case STORE_FAULTS -> zone.store.faults().failNext(faults(value));
            case LEASE_FAULTS -> zone.leases.faults().failNext(faults(value));
            case ORDER_FAULTS -> zone.orders.faults().failNext(faults(value));
            default -> throw new IllegalStateException(step.action().name());
        }
    }

    // Guards against orders beyond the bound, second orders for one need, stops below the floor or with slots in use,
    // upstreams that stay after demand has gone, and demand that is not served after the faults have ended.
    @Property(tries = 300, seed = SEED)
    void ordersFollowDemandWithinTheRules(@ForAll("schedules") List<Step> schedule) {
        SimulatedZone zone = new SimulatedZone();
        schedule.forEach(step -> run(zone, step));

        zone.heal();
        zone.setDemand(SimulatedZone.BOUND - 1, 1);
        zone.pass(SETTLE_SECONDS);
        assertWithMessage("upstreams for the demand")
                .that(zone.running(Market.GUARANTEED) + zone.running(Market.PREEMPTIBLE))
                .isAtLeast(SimulatedZone.BOUND - 1);

        zone.setDemand(0, 0);
        zone.routers.forEach(SimulatedRouter::releaseSlots);
        zone.pass(SETTLE_SECONDS);
        assertWithMessage("guaranteed upstreams without demand")
                .that(zone.running(Market.GUARANTEED))
                .isEqualTo(SimulatedZone.FLOOR);
        assertWithMessage("preemptible upstreams without demand")
                .that(zone.running(Market.PREEMPTIBLE))
                .isEqualTo(0);
    }
}
