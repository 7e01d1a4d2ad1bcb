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
import org.cranberrybend.controller.testing.CallFault;
import org.cranberrybend.controller.testing.CallFaults;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FaultyLeaseService;
import org.cranberrybend.controller.testing.FaultyUpstreamOrders;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrder;

/**
 * Runs two controllers of a zone through random schedules of pauses, lease losses and lost responses, and checks every
 * order that the platform receives.
 */
class OrderFuzzTest {
    private static final String ZONE = "szeged-a";
    private static final String LEASE = "lease/orders/szeged-a";
    private static final LeaseTimes TIMES = new LeaseTimes(10_000, 1_000, 3_000);
    private static final int PROCESSES = 2;
    private static final long PAUSE_STEP_MS = 3_000;

    private enum Action {
        RUN_LEASE,
        RUN_ORDERS,
        RUN_ALL,
        ADVANCE_TIME,
        EXPIRE_LEASE,
        STORE_FAULTS,
        LEASE_FAULTS,
        ORDER_FAULTS,
        PAUSE_IN_STORE_CALL,
        PAUSE_IN_LEASE_CALL,
        PAUSE_IN_ORDER_CALL
    }

    private static final class Controller {
        private final LeaseHolder lease;
        private final OrderProcessor processor;
        private boolean processorRunning;
        private boolean leaseRunning;

        private Controller(LeaseHolder lease, OrderProcessor processor) {
            this.lease = lease;
            this.processor = processor;
        }

        boolean maySendOrders() {
            return lease.check().isPresent() && lease.isTakeoverDelayOver();
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
                        List.of(new PlannedOrder(OrderAction.START, Market.GUARANTEED, "stub-writer", "", false));
                controllers.add(new Controller(
                        lease,
                        new OrderProcessor(
                                ZONE, store, orders, lease, TIMES, source, () -> "n" + suffix++, time, events, 1_000)));
            }
        }

        private void received(UpstreamOrder order) {
            assertWithMessage("order %s is received for the first time", order.orderId())
                    .that(orderIds.add(order.orderId()))
                    .isTrue();
            assertWithMessage("fencing number").that(order.fencingNumber()).isAtLeast(highestFencingNumber);
            highestFencingNumber = order.fencingNumber();
            for (Controller each : controllers) {
                if (each != sender) {
                    assertWithMessage("another process is also allowed to send orders")
                            .that(each.maySendOrders())
                            .isFalse();
                }
            }
        }

        void run(Action action, int which, int value) {
            Controller controller = controllers.get(which % PROCESSES);
            switch (action) {
                case RUN_LEASE -> runLease(controller);
                case RUN_ORDERS -> runOrders(controller);
                case RUN_ALL -> runAll(TIMES.takeoverDelayMs() * (value % 3));
                case ADVANCE_TIME -> time.advanceMs(value * 10L);
                case EXPIRE_LEASE -> time.advanceMs(TIMES.takeoverDelayMs());
                case STORE_FAULTS -> store.faults().failNext(faults(value));
                case LEASE_FAULTS -> leases.faults().failNext(faults(value));
                case ORDER_FAULTS -> orders.faults().failNext(faults(value));
                case PAUSE_IN_STORE_CALL -> pause(store.faults(), value, 40_000);
                case PAUSE_IN_LEASE_CALL -> pause(leases.faults(), value, 40_000);
                    // Only a platform that checks fencing numbers is safe against a longer pause after the last check.
                case PAUSE_IN_ORDER_CALL -> pause(orders.faults(), value, TIMES.takeoverDelayMs());
                default -> throw new IllegalStateException(action.name());
            }
            for (Controller each : controllers) {
                each.lease.check().ifPresent(check -> assertWithMessage("lease held at the platform")
                        .that(leases.isCurrent(LEASE, check.fencingNumber().value()))
                        .isTrue());
            }
        }

        private static List<CallFault> faults(int code) {
            List<CallFault> faults = new ArrayList<>();
            for (int rest = code; rest > 0; rest /= 4) {
                faults.add(CallFault.values()[rest % 4]);
            }
            return faults;
        }

        /** Pauses the process that makes a later call, while time advances and the other process continues to run. */
        private void pause(CallFaults faults, int value, long pauseMaxMs) {
            long pauseMs = pauseMaxMs * (value % 16 + 1) / 16;
            Runnable pause = () -> {
                // A pause nested in the pause of an order call would extend the latter beyond the takeover delay.
                if (orderCallPaused) {
                    return;
                }
                orderCallPaused = faults == orders.faults();
                runAll(pauseMs);
                orderCallPaused = false;
            };
            if (value >= 128) {
                faults.runBeforeResponse(value / 16 % 5, pause);
            } else {
                faults.runBeforeCall(value / 16 % 5, pause);
            }
        }

        /** Advances the time in steps and runs every process that is not paused in each of them. */
        private void runAll(long durationMs) {
            for (long passedMs = 0; passedMs < durationMs; passedMs += PAUSE_STEP_MS) {
                time.advanceMs(Math.min(PAUSE_STEP_MS, durationMs - passedMs));
                for (Controller each : controllers) {
                    runLease(each);
                    runOrders(each);
                }
            }
        }

        private void runLease(Controller controller) {
            if (!controller.leaseRunning) {
                controller.leaseRunning = true;
                controller.lease.run();
                controller.leaseRunning = false;
            }
        }

        private void runOrders(Controller controller) {
            if (controller.processorRunning) {
                return;
            }
            Controller outer = sender;
            controller.processorRunning = true;
            sender = controller;
            controller.processor.run();
            sender = outer;
            controller.processorRunning = false;
        }

        void settleAndCheck() throws PlatformException {
            store.faults().clear();
            leases.faults().clear();
            orders.faults().clear();
            runAll(10 * TIMES.takeoverDelayMs());
            // Without faults each run confirms the order that it sends, so no order is left open.
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
                Tuple.of(4, Arbitraries.of(Action.RUN_LEASE, Action.RUN_ORDERS, Action.RUN_ALL)),
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

    // Guards against orders from two processes that both consider themselves the lease holder, and against an order
    // that is sent twice.
    @Property(tries = 800, seed = "20261205")
    void eachOrderIsSentOnceByOneProcess(@ForAll("schedules") List<Tuple3<Action, Integer, Integer>> schedule)
            throws PlatformException {
        Zone zone = new Zone();
        schedule.forEach(step -> zone.run(step.get1(), step.get2(), step.get3()));
        zone.settleAndCheck();
    }
}
