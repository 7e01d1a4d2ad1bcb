package org.cranberrybend.controller.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
import org.cranberrybend.controller.testing.FaultyUsageReports;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.controller.testing.StoreFault;
import org.cranberrybend.core.lease.FencingNumber;
import org.cranberrybend.core.lease.LeaseCheck;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.core.usage.SealedWindow;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UsageCounter;
import org.cranberrybend.wire.generated.UsageFlush;
import org.cranberrybend.wire.generated.UsageWindowCounters;

/**
 * Routers and controllers that crash, repeat and delay messages, and two holders of the usage lease, against the usage
 * that happened.
 */
class UsageFuzzTest {
    private static final LeaseTimes TIMES = new LeaseTimes(10_000, 1_000, 3_000);
    private static final long SEAL_DELAY_MS = 30_000;
    private static final long STEP_MS = 3_000;
    private static final int CONTROLLERS = 2;
    private static final int ROUTERS = 2;

    private enum Action {
        USE,
        FLUSH,
        REPEAT_FLUSH,
        WRITE,
        WORK,
        PASS_TIME,
        RESTART_ROUTER,
        CRASH_CONTROLLER,
        STORE_FAULTS,
        REPORT_FAULTS,
        LEASE_FAULTS,
        PAUSE_IN_STORE_CALL,
        PAUSE_IN_REPORT_CALL
    }

    private static final class Router {
        private final String id;
        private long incarnation = 1;
        private final Map<Long, Map<String, Long>> tokens = new TreeMap<>();

        private Router(String id) {
            this.id = id;
        }

        Envelope flush() {
            UsageFlush.Builder flush = UsageFlush.newBuilder();
            tokens.forEach((window, counters) -> {
                UsageWindowCounters.Builder message =
                        UsageWindowCounters.newBuilder().setWindowStartMs(window);
                counters.forEach((account, count) -> message.addCounters(UsageCounter.newBuilder()
                        .setClientAccount(account)
                        .setClassName("quick")
                        .setService("stub-writer")
                        .setRequests(1)
                        .setOutputTokens(count)));
                flush.addWindows(message);
            });
            return Envelope.newBuilder()
                    .setSender(id)
                    .setIncarnation(incarnation)
                    .setUsageFlush(flush)
                    .build();
        }
    }

    private static final class Controller {
        private UsageCollector collector;
        private OpenUsageWriter writer;
        private UsageDuty duty;
        private LeaseHolder lease;
        /** Fencing number under which the last report was sent. */
        private FencingNumber reportedUnder;

        private boolean busy;
    }

    private static final class Fleet {
        private final ManualTimeSource time = new ManualTimeSource(600_000);
        private final FaultyKeyValueStore store = new FaultyKeyValueStore();
        private final FaultyLeaseService leases = new FaultyLeaseService(time);
        private final FaultyUsageReports reports = new FaultyUsageReports(this::reportReceived);
        private final List<Controller> controllers = new ArrayList<>();
        private final List<Router> routers = new ArrayList<>();
        private final List<Envelope> messages = new ArrayList<>();
        private final Map<Long, Map<String, Long>> used = new TreeMap<>();
        private Controller sender;
        private boolean reportPaused;

        Fleet() {
            for (int i = 0; i < CONTROLLERS; i++) {
                controllers.add(new Controller());
                start(i);
            }
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new Router("r" + i + "/router"));
            }
        }

        /** Starts a controller without memory; it has the name of the one before. */
        private void start(int index) {
            Controller controller = controllers.get(index);
            String name = "c" + index;
            EventLog events = FixedMembers.alone(name, "szeged-a").eventLog(time);
            controller.collector = new UsageCollector();
            controller.writer =
                    new OpenUsageWriter(controller.collector, store, "szeged-a", name, time, SEAL_DELAY_MS, 5_000);
            controller.lease = new LeaseHolder(leases, "lease/usage", name, TIMES, () -> true, time, events);
            controller.duty = new UsageDuty(store, reports, controller.lease, time, events, SEAL_DELAY_MS);
        }

        /** A report must not arrive while a later holder of the lease reports, too. */
        private void reportReceived() {
            for (Controller each : controllers) {
                Optional<LeaseCheck> check = each.lease.check();
                assertWithMessage("another process also believes that it may report")
                        .that(each != sender
                                && check.isPresent()
                                && check.get().fencingNumber().equals(each.reportedUnder))
                        .isFalse();
            }
            sender.lease.check().ifPresent(check -> sender.reportedUnder = check.fencingNumber());
        }

        void run(Action action, int which, int value) {
            Controller controller = controllers.get(which % CONTROLLERS);
            Router router = routers.get(value % ROUTERS);
            switch (action) {
                case USE -> use(router, "account-" + value % 3, value + 1);
                case FLUSH -> flush(router, controller);
                case REPEAT_FLUSH -> {
                    if (!messages.isEmpty()) {
                        controller.collector.handle(messages.get(value % messages.size()));
                    }
                }
                case WRITE -> {
                    boolean outer = controller.busy;
                    controller.busy = true;
                    controller.writer.run();
                    controller.busy = outer;
                }
                case WORK -> work(value % 4 * 20_000L);
                case PASS_TIME -> time.advanceMs(value * 500L);
                case RESTART_ROUTER -> restart(router);
                case CRASH_CONTROLLER -> {
                    if (!controller.busy) {
                        start(which % CONTROLLERS);
                    }
                }
                case STORE_FAULTS -> store.faults().failNext(faults(value));
                case REPORT_FAULTS -> reports.faults().failNext(faults(value));
                case LEASE_FAULTS -> leases.faults().failNext(faults(value));
                case PAUSE_IN_STORE_CALL -> pause(store.faults(), value, 100_000);
                case PAUSE_IN_REPORT_CALL -> pause(reports.faults(), value, TIMES.takeoverDelayMs());
                default -> throw new IllegalStateException(action.name());
            }
        }

        private void use(Router router, String account, long count) {
            long window = UsageWindow.containing(time.wallMs()).startMs();
            router.tokens.computeIfAbsent(window, id -> new TreeMap<>()).merge(account, count, Long::sum);
            used.computeIfAbsent(window, id -> new TreeMap<>()).merge(account, count, Long::sum);
        }

        private void flush(Router router, Controller controller) {
            messages.add(router.flush());
            controller.collector.handle(messages.get(messages.size() - 1));
        }

        /** A router that ends in order flushes; the message may still arrive late. */
        private void restart(Router router) {
            messages.add(router.flush());
            router.incarnation++;
            router.tokens.clear();
        }

        private static List<StoreFault> faults(int code) {
            List<StoreFault> faults = new ArrayList<>();
            for (int rest = code; rest > 0; rest /= 4) {
                faults.add(StoreFault.values()[rest % 4]);
            }
            return faults;
        }

        private void pause(CallFaults faults, int value, long pauseMaxMs) {
            long pauseMs = pauseMaxMs * (value % 16 + 1) / 16;
            Runnable pause = () -> {
                // A pause within the pause of a report would make the latter longer than the successor's wait.
                if (!reportPaused) {
                    reportPaused = faults == reports.faults();
                    work(pauseMs);
                    reportPaused = false;
                }
            };
            if (value >= 128) {
                faults.delayResponse(value % 40, pause);
            } else {
                faults.interrupt(value % 40, pause);
            }
        }

        private void work(long durationMs) {
            for (long passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
                time.advanceMs(Math.min(STEP_MS, durationMs - passedMs));
                for (Controller each : controllers) {
                    if (!each.busy) {
                        Controller outer = sender;
                        each.busy = true;
                        sender = each;
                        each.lease.run();
                        each.writer.run();
                        each.duty.run();
                        sender = outer;
                        each.busy = false;
                    }
                }
            }
        }

        void settleAndCheck() {
            store.faults().heal();
            leases.faults().heal();
            reports.faults().heal();
            routers.forEach(each -> flush(each, controllers.get(0)));
            messages.forEach(each -> controllers.get(1).collector.handle(each));
            work(6 * UsageWindow.LENGTH_MS);
            // A long time may have passed without a lease; what is due is sealed 20 windows at a time.
            int rounds = 0;
            while (!isReported(UsageWindow.containing(time.wallMs()).minusWindows(3))) {
                work(STEP_MS);
                assertWithMessage("rounds until all windows are reported")
                        .that(++rounds)
                        .isAtMost(10_000);
            }
            Map<Long, Map<String, Long>> billed = new TreeMap<>();
            reports.received().forEach((window, body) -> addBilled(body, billed));
            assertThat(billed).isEqualTo(used);
        }

        private boolean isReported(UsageWindow window) {
            return reports.received().containsKey(window.startMs());
        }

        private void addBilled(String body, Map<Long, Map<String, Long>> billed) {
            SealedWindow report = SealedWindow.fromBytes(body.getBytes(StandardCharsets.UTF_8));
            Map<Long, List<SealedWindow.Entry>> byOrigin = new HashMap<>();
            byOrigin.put(report.windowStartMs(), report.entries());
            report.late().forEach(each -> byOrigin.put(each.originWindowStartMs(), each.entries()));
            byOrigin.forEach(
                    (origin, entries) -> entries.forEach(each -> billed.computeIfAbsent(origin, id -> new TreeMap<>())
                            .merge(each.clientAccount(), each.outputTokens(), Long::sum)));
        }
    }

    @Provide
    Arbitrary<List<Tuple3<Action, Integer, Integer>>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequencyOf(
                Tuple.of(4, Arbitraries.of(Action.USE, Action.FLUSH, Action.WRITE)),
                Tuple.of(2, Arbitraries.just(Action.WORK)),
                Tuple.of(3, Arbitraries.of(Action.values())));
        return Combinators.combine(
                        actions,
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, 255))
                .as(Tuple::of)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    // Guards against usage that is billed twice or not at all, and against a window with two figures or two senders.
    @Property(tries = 300, seed = "20261206")
    void eachUsageIsBilledOnce(@ForAll("schedules") List<Tuple3<Action, Integer, Integer>> schedule) {
        Fleet fleet = new Fleet();
        schedule.forEach(step -> fleet.run(step.get1(), step.get2(), step.get3()));
        fleet.settleAndCheck();
    }
}
