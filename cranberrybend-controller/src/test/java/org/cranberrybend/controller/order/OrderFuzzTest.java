package org.cranberrybend.controller.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.Tuple.Tuple3;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.testing.CallFaults;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FaultyLeaseService;
import org.cranberrybend.controller.testing.FaultyUpstreamOrders;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.controller.testing.StoreFault;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrder;

/** Two controllers of a zone that are paused, lose their lease, and get no responses, against the orders received. */
class OrderFuzzTest {
    private static final String ZONE = "szeged-a";
    private static final String LEASE = "lease/orders/szeged-a";
    private static final LeaseTimes TIMES = new LeaseTimes(10_000, 1_000, 3_000);
    private static final int PROCESSES = 2;
    private static final long PAUSE_STEP_MS = 3_000;

    private enum Action {
        LEASE,
        ROUND,
        WORK,
        PASS_TIME,
        EXPIRE,
        STORE_FAULTS,
        LEASE_FAULTS,
        ORDER_FAULTS,
        PAUSE_IN_STORE_CALL,
        PAUSE_IN_LEASE_CALL,
        PAUSE_IN_ORDER_CALL
    }

    private static final class Controller {
        private final LeaseHolder lease;
        private final OrderRound round;
        private boolean busy;
        private boolean leaseBusy;

        private Controller(LeaseHolder lease, OrderRound round) {
            this.lease = lease;
            this.round = round;
        }

        boolean believesItMaySend() {
            return lease.check().isPresent() && lease.isSuccessorWaitOver();
        }
    }

    private static final class Zone {
        private final ManualTimeSource time = new ManualTimeSource(1_000_000);
        private final FaultyKeyValueStore store = new FaultyKeyValueStore();
        private final FaultyLeaseService leases = new FaultyLeaseService(time);
        private final FaultyUpstreamOrders orders = new FaultyUpstreamOrders(this::received);
        private final List<Controller> controllers = new ArrayList<>();
        private final Set<String> orderIds = new HashSet<>();
        private long highestFencingNumber;
        private Controller sender;
        private boolean orderCallPaused;
        private int suffix;

        Zone() {
            for (int i = 0; i < PROCESSES; i++) {
                EventLog events = FixedMembers.alone("c" + i, ZONE).eventLog(time);
                LeaseHolder lease = new LeaseHolder(leases, LEASE, "c" + i, TIMES, () -> true, time, events);
                OrderSource source = (zone, intents) ->
                        List.of(new WantedOrder(OrderAction.START, Market.GUARANTEED, "stub-writer", "", false));
                controllers.add(new Controller(
                        lease,
                        new OrderRound(
                                ZONE, store, orders, lease, TIMES, source, () -> "n" + suffix++, time, events, 1_000)));
            }
        }

        private void received(UpstreamOrder order) {
            assertWithMessage("order %s is sent for the first time", order.orderId())
                    .that(orderIds.add(order.orderId()))
                    .isTrue();
            assertWithMessage("fencing number").that(order.fencingNumber()).isAtLeast(highestFencingNumber);
            highestFencingNumber = order.fencingNumber();
            for (Controller each : controllers) {
                if (each != sender) {
                    assertWithMessage("another process also believes that it may send")
                            .that(each.believesItMaySend())
                            .isFalse();
                }
            }
        }

        void run(Action action, int which, int value) {
            Controller controller = controllers.get(which % PROCESSES);
            switch (action) {
                case LEASE -> lease(controller);
                case ROUND -> round(controller);
                case WORK -> work(TIMES.takeoverDelayMs() * (value % 3));
                case PASS_TIME -> time.advanceMs(value * 10L);
                case EXPIRE -> time.advanceMs(TIMES.takeoverDelayMs());
                case STORE_FAULTS -> store.faults().failNext(faults(value));
                case LEASE_FAULTS -> leases.faults().failNext(faults(value));
                case ORDER_FAULTS -> orders.faults().failNext(faults(value));
                case PAUSE_IN_STORE_CALL -> pause(store.faults(), value, 40_000);
                case PAUSE_IN_LEASE_CALL -> pause(leases.faults(), value, 40_000);
                    // A longer pause after the last check is the gap that only the platform can close.
                case PAUSE_IN_ORDER_CALL -> pause(orders.faults(), value, TIMES.takeoverDelayMs());
                default -> throw new IllegalStateException(action.name());
            }
            for (Controller each : controllers) {
                each.lease.check().ifPresent(check -> assertWithMessage("lease held at the platform")
                        .that(leases.isCurrent(LEASE, check.fencingNumber().value()))
                        .isTrue());
            }
        }

        private static List<StoreFault> faults(int code) {
            List<StoreFault> faults = new ArrayList<>();
            for (int rest = code; rest > 0; rest /= 4) {
                faults.add(StoreFault.values()[rest % 4]);
            }
            return faults;
        }

        /** Stops the caller of a later call; meanwhile time passes in steps and the other process works. */
        private void pause(CallFaults faults, int value, long pauseMaxMs) {
            long pauseMs = pauseMaxMs * (value % 16 + 1) / 16;
            Runnable pause = () -> {
                // A pause within the pause of an order call would make the latter longer than the page allows.
                if (orderCallPaused) {
                    return;
                }
                orderCallPaused = faults == orders.faults();
                work(pauseMs);
                orderCallPaused = false;
            };
            if (value >= 128) {
                faults.delayResponse(value / 16 % 5, pause);
            } else {
                faults.interrupt(value / 16 % 5, pause);
            }
        }

        /** Lets time pass in steps in which every process works that is not paused. */
        private void work(long durationMs) {
            for (long passedMs = 0; passedMs < durationMs; passedMs += PAUSE_STEP_MS) {
                time.advanceMs(Math.min(PAUSE_STEP_MS, durationMs - passedMs));
                for (Controller each : controllers) {
                    lease(each);
                    round(each);
                }
            }
        }

        private void lease(Controller controller) {
            if (!controller.leaseBusy) {
                controller.leaseBusy = true;
                controller.lease.run();
                controller.leaseBusy = false;
            }
        }

        private void round(Controller controller) {
            if (controller.busy) {
                return;
            }
            Controller outer = sender;
            controller.busy = true;
            sender = controller;
            controller.round.run();
            sender = outer;
            controller.busy = false;
        }

        void settleAndCheck() throws PlatformException {
            store.faults().heal();
            leases.faults().heal();
            orders.faults().heal();
            work(10 * TIMES.takeoverDelayMs());
            // The last round settles what the one before sent.
            Set<String> confirmed = new IntentStore(store)
                    .list(ZONE).stream()
                            .filter(each -> each.intent().state() == OrderState.CONFIRMED)
                            .map(each -> each.intent().orderId())
                            .collect(Collectors.toSet());
            assertThat(confirmed).isEqualTo(orderIds);
            assertThat(orderIds).isNotEmpty();
        }
    }

    @Provide
    Arbitrary<List<Tuple3<Action, Integer, Integer>>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequencyOf(
                Tuple.of(4, Arbitraries.of(Action.LEASE, Action.ROUND, Action.WORK)),
                Tuple.of(2, Arbitraries.of(Action.values())));
        return Combinators.combine(
                        actions,
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, 255))
                .as(Tuple::of)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    // Guards against orders from two processes that both believe they hold the lease, and against repeated orders.
    @Property(tries = 800, seed = "20261205")
    void oneSenderAndNoOrderTwice(@ForAll("schedules") List<Tuple3<Action, Integer, Integer>> schedule)
            throws PlatformException {
        Zone zone = new Zone();
        schedule.forEach(step -> zone.run(step.get1(), step.get2(), step.get3()));
        zone.settleAndCheck();
    }
}
