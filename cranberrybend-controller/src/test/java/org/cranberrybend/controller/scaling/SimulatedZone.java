package org.cranberrybend.controller.scaling;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.order.OrderRound;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FaultyLeaseService;
import org.cranberrybend.controller.testing.FaultyUpstreamOrders;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.core.scaling.ScalingPolicy;
import org.cranberrybend.core.scaling.ScalingSettings;
import org.cranberrybend.core.scaling.UpstreamInventory;
import org.cranberrybend.core.scaling.ZoneDemand;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.AcceptedOrder;
import org.cranberrybend.runtime.platform.UpstreamOrder;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;

/** A zone with two controllers, two routers and a platform, in steps of a second, that checks each order on arrival. */
final class SimulatedZone {
    static final String ZONE = "szeged-a";
    static final String MODEL = "stub-writer";
    static final int FLOOR = 1;
    static final int BOUND = 6;
    static final int TOKENS_PER_UPSTREAM = 150;
    private static final int SLOTS = 8;
    private static final String LEASE = "lease/orders/szeged-a";
    private static final LeaseTimes LEASE_TIMES = new LeaseTimes(10_000, 1_000, 3_000);
    private static final ScalingTimes TIMES =
            new ScalingTimes(new ScalingSettings(0.75, 30, 20_000), 5_000, 60_000, 300_000, 30_000, 30_000, 25, SLOTS);
    private static final long LIST_LAG_MS = 1_000;
    private static final long START_DELAY_MS = 4_000;
    private static final long STOP_GRACE_MS = 10_000;
    private static final ConfigurationView CONFIGURATION = configuration();

    final ManualTimeSource time = new ManualTimeSource(1_000_000);
    final FaultyKeyValueStore store = new FaultyKeyValueStore();
    final FaultyLeaseService leases = new FaultyLeaseService(time);
    final FaultyUpstreamOrders orders = new FaultyUpstreamOrders(this::received);
    final List<SimulatedRouter> routers = new ArrayList<>();
    final List<Controller> controllers = new ArrayList<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    boolean preemptibleAvailable = true;
    private boolean floorReached;
    private int demandUpstreams;
    private int peakUpstreams;
    private int upperPart = 1;
    private int nextMachine;
    private long seconds;
    private Controller sender;

    /** An upstream at the platform, from its order to its end. */
    private static final class Machine {
        private final Upstream upstream;
        private final long listedMs;
        private long stoppedMs = Long.MAX_VALUE;

        Machine(Upstream upstream, long listedMs) {
            this.upstream = upstream;
            this.listedMs = listedMs;
        }

        boolean isStopped() {
            return stoppedMs != Long.MAX_VALUE;
        }
    }

    /** A controller with its view of the list of instances. */
    final class Controller implements UpstreamSource {
        final DemandCollector collector = new DemandCollector(ZONE, TIMES.smoothingMs());
        final ScalingOrderSource source;
        private final LeaseHolder lease;
        private final OrderRound round;
        private List<Upstream> listed = List.of();
        private long readAtMs;
        long pausedUntilMs;

        Controller(String name) {
            FixedMembers self = FixedMembers.alone(name, ZONE);
            EventLog events = self.eventLog(time);
            lease = new LeaseHolder(leases, LEASE, name, LEASE_TIMES, () -> true, time, events);
            source = new ScalingOrderSource(
                    collector,
                    () -> CONFIGURATION,
                    new Members(self.self()),
                    this,
                    orders,
                    this::fencingNumber,
                    TIMES,
                    time,
                    events);
            round = new OrderRound(
                    ZONE,
                    store,
                    orders,
                    lease,
                    LEASE_TIMES,
                    source,
                    () -> name + "-" + nextMachine++,
                    time,
                    events,
                    1_000);
        }

        private OptionalLong fencingNumber() {
            return lease.check().stream()
                    .mapToLong(check -> check.fencingNumber().value())
                    .findFirst();
        }

        boolean isPaused() {
            return time.monotonicMs() < pausedUntilMs;
        }

        void work() {
            if (isPaused()) {
                return;
            }
            listed = list();
            readAtMs = time.wallMs();
            lease.run();
            sender = this;
            round.run();
        }

        @Override
        public List<Upstream> upstreams() {
            return listed;
        }

        @Override
        public long upstreamsReadAtMs() {
            return readAtMs;
        }

        @Override
        public void offerUpstreams(List<Upstream> offered, long readAt) {
            throw new AssertionError("not expected");
        }

        @Override
        public void addUpstreamListener(Runnable listener) {
            throw new AssertionError("not expected");
        }
    }

    /** The routers as members, whose incarnation changes with a restart. */
    private final class Members implements MemberDirectory {
        private final Member self;

        Members(Member self) {
            this.self = self;
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return routers.stream().map(SimulatedRouter::member).toList();
        }

        @Override
        public Optional<Member> member(String memberId) {
            return members().stream().filter(each -> each.id().equals(memberId)).findFirst();
        }

        @Override
        public void addListener(Runnable listener) {
            // Members are read in each round.
        }
    }

    SimulatedZone() {
        for (String name : List.of("r0", "r1")) {
            routers.add(new SimulatedRouter(FixedMembers.member(name, "router", ZONE, MemberState.ALIVE)));
        }
        controllers.add(new Controller("c0"));
        controllers.add(new Controller("c1"));
    }

    private static ConfigurationView configuration() {
        try {
            return new ConfigurationView(new ConfigurationState(
                    1,
                    "",
                    ImmutableSortedMap.of(
                            new EntityId(EntityKind.MODEL, MODEL),
                            CanonicalJson.mapper().readTree("{\"max_output_tokens\":10,\"context_tokens\":100}"),
                            new EntityId(EntityKind.ZONE, ZONE),
                            CanonicalJson.mapper()
                                    .readTree("{\"guaranteed_upstreams_min\":" + FLOOR + ",\"upstreams_max\":" + BOUND
                                            + ",\"preemptible_ratio_max\":0.6}"))));
        } catch (JsonProcessingException e) {
            throw new AssertionError(e);
        }
    }

    /** Sets the demand to what the given count of upstreams serves, with a given part of it in the upper tiers. */
    void setDemand(int upstreams, int upperQuarters) {
        demandUpstreams = upstreams;
        upperPart = upperQuarters;
        peakUpstreams = Math.max(peakUpstreams, upstreams);
    }

    private List<Upstream> list() {
        long nowMs = time.monotonicMs();
        List<Upstream> listed = new ArrayList<>();
        for (Machine each : machines.values()) {
            if (nowMs >= each.listedMs + LIST_LAG_MS) {
                boolean leaving = each.isStopped() && nowMs >= each.stoppedMs + LIST_LAG_MS;
                listed.add(leaving ? each.upstream.asLeaving() : each.upstream);
            }
        }
        return listed;
    }

    /** Lets a number of seconds pass in which routers serve and report, and controllers work. */
    void pass(int passedSeconds) {
        for (int i = 0; i < passedSeconds; i++) {
            time.advanceMs(1_000);
            seconds++;
            machines.values()
                    .removeIf(each -> each.isStopped() && time.monotonicMs() >= each.stoppedMs + STOP_GRACE_MS);
            List<Upstream> listed = list();
            for (SimulatedRouter router : routers) {
                router.serve(listed, demandTokens() / routers.size(), upperPart);
                router.report(controllers, time.monotonicMs());
            }
            if (seconds % 2 == 0) {
                controllers.forEach(Controller::work);
            }
            checkFloor();
        }
    }

    private int demandTokens() {
        // In the middle between two counts of upstreams, so that rounding never decides the need.
        return demandUpstreams == 0 ? 0 : demandUpstreams * TOKENS_PER_UPSTREAM - TOKENS_PER_UPSTREAM / 2;
    }

    private void checkFloor() {
        long guaranteed = committed(Market.GUARANTEED);
        floorReached |= guaranteed >= FLOOR;
        if (floorReached) {
            assertWithMessage("guaranteed upstreams").that(guaranteed).isAtLeast((long) FLOOR);
        }
    }

    private long committed(Market market) {
        return machines.values().stream()
                .filter(each -> each.upstream.market() == market && !each.isStopped())
                .count();
    }

    /** Returns the upstreams of a market that run or start and are not stopped. */
    int running(Market market) {
        return (int) committed(market);
    }

    /** Returns the count of upstreams that the holder of the lease drains. */
    int drainingCount() {
        return controllers.stream()
                .mapToInt(each -> each.source.drains().drains().size())
                .sum();
    }

    private AcceptedOrder received(UpstreamOrder order) {
        return order.action().equals("start") ? start(order) : stop(order);
    }

    private AcceptedOrder start(UpstreamOrder order) {
        Market market = Market.valueOf(order.market().toUpperCase(Locale.ROOT));
        if (market == Market.PREEMPTIBLE && !preemptibleAvailable) {
            return new AcceptedOrder(order.orderId(), "start", AcceptedOrder.UNAVAILABLE, "");
        }
        String id = "engine-" + nextMachine++;
        Upstream upstream = new Upstream(
                id, ZONE, "alfold", "127.0.0.1", 1, UpstreamKind.ENGINE, Set.of(MODEL), SLOTS, market, false, false);
        machines.put(id, new Machine(upstream, time.monotonicMs() + START_DELAY_MS));
        assertWithMessage("upstreams that run, start or stop")
                .that(machines.size())
                .isAtMost(BOUND);
        int need = Math.max(FLOOR, peakUpstreams);
        assertWithMessage("upstreams of one market for a need of " + need)
                .that(running(market))
                .isAtMost(need);
        assertWithMessage("upstreams that run or start, draining ones included, after a start of " + market)
                .that(running(market))
                .isAtMost(Math.max(target(market, true), target(market, false)));
        return new AcceptedOrder(order.orderId(), "start", "started", id);
    }

    /** Returns the target for the demand that the sender of an order sees. */
    private int target(Market market, boolean preemptibleUnavailable) {
        ZoneDemand demand = new ZoneDemand(
                ZONE,
                CONFIGURATION.zone(ZONE).orElseThrow(),
                sender.collector.pool(MODEL).servedEstimate(),
                TOKENS_PER_UPSTREAM / TIMES.policy().utilizationRatio(),
                new UpstreamInventory(Market.GUARANTEED, List.of(), List.of(), List.of(), 0, false),
                new UpstreamInventory(Market.PREEMPTIBLE, List.of(), List.of(), List.of(), 0, preemptibleUnavailable));
        return new ScalingPolicy(TIMES.policy())
                .targets(List.of(demand))
                .get(ZONE)
                .count(market);
    }

    private AcceptedOrder stop(UpstreamOrder order) {
        Machine machine = machines.get(order.upstreamId());
        assertWithMessage("stop of an upstream that runs").that(machine).isNotNull();
        assertWithMessage("first stop of " + order.upstreamId())
                .that(machine.isStopped())
                .isFalse();
        DrainState.Drain drain = sender.source.drains().drains().get(order.upstreamId());
        assertWithMessage("drain before the stop").that(drain).isNotNull();
        if (time.monotonicMs() - drain.sinceMs() < TIMES.drainLimitMs()) {
            for (SimulatedRouter router : routers) {
                assertWithMessage("slots in use on " + order.upstreamId() + " when it is stopped")
                        .that(router.slotsOn(order.upstreamId()))
                        .isEqualTo(0);
            }
        }
        machine.stoppedMs = time.monotonicMs();
        return new AcceptedOrder(order.orderId(), "stop", "stopping", order.upstreamId());
    }

    /** Ends all preemptible upstreams at once. */
    void reclaim() {
        machines.values().removeIf(each -> each.upstream.market() == Market.PREEMPTIBLE);
    }

    /** Ends all faults and pauses. */
    void heal() {
        store.faults().heal();
        leases.faults().heal();
        orders.faults().heal();
        preemptibleAvailable = true;
        controllers.forEach(each -> each.pausedUntilMs = 0);
        routers.forEach(SimulatedRouter::heal);
    }
}
