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
import org.cranberrybend.controller.order.OrderProcessor;
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

/**
 * Simulates a zone with two controllers, two routers and a platform in steps of one second. Checks every order that the
 * platform receives.
 */
final class SimulatedZone {
    static final String ZONE = "szeged-a";
    static final String MODEL = "stub-writer";
    static final int MIN_GUARANTEED = 1;
    static final int MAX_UPSTREAMS = 6;
    static final int TOKENS_PER_UPSTREAM = 150;
    private static final int SLOTS = 8;
    private static final String LEASE = "lease/orders/szeged-a";
    private static final LeaseTimes LEASE_TIMES = new LeaseTimes(10_000, 1_000, 3_000);
    private static final ScalingParameters PARAMETERS = new ScalingParameters(
            new ScalingSettings(0.75, 30, 20_000), 5_000, 60_000, 300_000, 30_000, 30_000, 25, SLOTS);
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
    private final Map<String, SimulatedUpstream> simulatedUpstreams = new TreeMap<>();
    boolean preemptibleAvailable = true;
    private boolean minGuaranteedReached;
    private int demandUpstreams;
    private int peakUpstreams;
    private int upperQuarters = 1;
    private int nextSuffix;
    private long seconds;
    private Controller sender;

    /** An upstream at the platform, from its start order until it has ended. */
    private static final class SimulatedUpstream {
        private final Upstream upstream;
        private final long listedMs;
        private long stoppedMs = Long.MAX_VALUE;

        SimulatedUpstream(Upstream upstream, long listedMs) {
            this.upstream = upstream;
            this.listedMs = listedMs;
        }

        boolean isStopped() {
            return stoppedMs != Long.MAX_VALUE;
        }
    }

    /** A controller with its copy of the instance list. */
    final class Controller implements UpstreamSource {
        final DemandCollector collector = new DemandCollector(ZONE, PARAMETERS.smoothingMs());
        final ScalingOrderSource source;
        private final LeaseHolder lease;
        private final OrderProcessor processor;
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
                    PARAMETERS,
                    time,
                    events);
            processor = new OrderProcessor(
                    ZONE,
                    store,
                    orders,
                    lease,
                    LEASE_TIMES,
                    source,
                    () -> name + "-" + nextSuffix++,
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

        void runTasks() {
            if (isPaused()) {
                return;
            }
            listed = instanceList();
            readAtMs = time.wallMs();
            lease.run();
            sender = this;
            processor.run();
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

    /** Directory of the routers. The incarnation of a router changes when it restarts. */
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
            // Members are read in each pass.
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
                                    .readTree("{\"guaranteed_upstreams_min\":" + MIN_GUARANTEED + ",\"upstreams_max\":"
                                            + MAX_UPSTREAMS + ",\"preemptible_ratio_max\":0.6}"))));
        } catch (JsonProcessingException e) {
            throw new AssertionError(e);
        }
    }

    /** Sets the demand to what a number of upstreams serves, with the given quarters of it in the upper tiers. */
    void setDemand(int upstreams, int newUpperQuarters) {
        demandUpstreams = upstreams;
        upperQuarters = newUpperQuarters;
        peakUpstreams = Math.max(peakUpstreams, upstreams);
    }

    private List<Upstream> instanceList() {
        long nowMs = time.monotonicMs();
        List<Upstream> listed = new ArrayList<>();
        for (SimulatedUpstream each : simulatedUpstreams.values()) {
            if (nowMs >= each.listedMs + LIST_LAG_MS) {
                boolean leaving = each.isStopped() && nowMs >= each.stoppedMs + LIST_LAG_MS;
                listed.add(leaving ? each.upstream.asLeaving() : each.upstream);
            }
        }
        return listed;
    }

    /** Advances the time; in each second the routers serve and report, in every other one the controllers run. */
    void advanceSeconds(int count) {
        for (int i = 0; i < count; i++) {
            time.advanceMs(1_000);
            seconds++;
            simulatedUpstreams
                    .values()
                    .removeIf(each -> each.isStopped() && time.monotonicMs() >= each.stoppedMs + STOP_GRACE_MS);
            List<Upstream> listed = instanceList();
            for (SimulatedRouter router : routers) {
                router.serve(listed, demandTokens() / routers.size(), upperQuarters);
                router.report(controllers, time.monotonicMs());
            }
            if (seconds % 2 == 0) {
                controllers.forEach(Controller::runTasks);
            }
            checkMinGuaranteed();
        }
    }

    private int demandTokens() {
        // Half an upstream below the full capacity, so that the required number does not depend on rounding.
        return demandUpstreams == 0 ? 0 : demandUpstreams * TOKENS_PER_UPSTREAM - TOKENS_PER_UPSTREAM / 2;
    }

    private void checkMinGuaranteed() {
        long guaranteed = committed(Market.GUARANTEED);
        minGuaranteedReached |= guaranteed >= MIN_GUARANTEED;
        if (minGuaranteedReached) {
            assertWithMessage("guaranteed upstreams").that(guaranteed).isAtLeast((long) MIN_GUARANTEED);
        }
    }

    private long committed(Market market) {
        return simulatedUpstreams.values().stream()
                .filter(each -> each.upstream.market() == market && !each.isStopped())
                .count();
    }

    /** Returns the number of running or starting upstreams of a market for which no stop was ordered. */
    int running(Market market) {
        return (int) committed(market);
    }

    /** Returns the number of upstreams that the lease holder is draining. */
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
        String id = "engine-" + nextSuffix++;
        Upstream upstream = new Upstream(
                id, ZONE, "alfold", "127.0.0.1", 1, UpstreamKind.ENGINE, Set.of(MODEL), SLOTS, market, false, false);
        simulatedUpstreams.put(id, new SimulatedUpstream(upstream, time.monotonicMs() + START_DELAY_MS));
        assertWithMessage("running, starting and stopping upstreams")
                .that(simulatedUpstreams.size())
                .isAtMost(MAX_UPSTREAMS);
        int required = Math.max(MIN_GUARANTEED, peakUpstreams);
        assertWithMessage("upstreams of one market, of which " + required + " are required")
                .that(running(market))
                .isAtMost(required);
        assertWithMessage("running, starting and draining upstreams after a start order for " + market)
                .that(running(market))
                .isAtMost(Math.max(target(market, true), target(market, false)));
        return new AcceptedOrder(order.orderId(), "start", "started", id);
    }

    /** Returns the target for the demand as known to the sender of the order. */
    private int target(Market market, boolean preemptibleUnavailable) {
        ZoneDemand demand = new ZoneDemand(
                ZONE,
                CONFIGURATION.zone(ZONE).orElseThrow(),
                sender.collector.pool(MODEL).servedEstimate(),
                TOKENS_PER_UPSTREAM / PARAMETERS.policy().utilizationRatio(),
                new UpstreamInventory(Market.GUARANTEED, List.of(), List.of(), List.of(), 0, false),
                new UpstreamInventory(Market.PREEMPTIBLE, List.of(), List.of(), List.of(), 0, preemptibleUnavailable));
        return new ScalingPolicy(PARAMETERS.policy())
                .targets(List.of(demand))
                .get(ZONE)
                .count(market);
    }

    private AcceptedOrder stop(UpstreamOrder order) {
        SimulatedUpstream stopped = simulatedUpstreams.get(order.upstreamId());
        assertWithMessage("stopped upstream exists").that(stopped).isNotNull();
        assertWithMessage("first stop of " + order.upstreamId())
                .that(stopped.isStopped())
                .isFalse();
        DrainState.Drain drain = sender.source.drains().drains().get(order.upstreamId());
        assertWithMessage("drain before the stop").that(drain).isNotNull();
        if (time.monotonicMs() - drain.sinceMs() < PARAMETERS.drainLimitMs()) {
            for (SimulatedRouter router : routers) {
                assertWithMessage("slots in use on " + order.upstreamId() + " when it is stopped")
                        .that(router.slotsOn(order.upstreamId()))
                        .isEqualTo(0);
            }
        }
        stopped.stoppedMs = time.monotonicMs();
        return new AcceptedOrder(order.orderId(), "stop", "stopping", order.upstreamId());
    }

    /** Reclaims all preemptible upstreams at once. */
    void reclaim() {
        simulatedUpstreams.values().removeIf(each -> each.upstream.market() == Market.PREEMPTIBLE);
    }

    /** Clears all faults and pauses. */
    void clearFaults() {
        store.faults().clear();
        leases.faults().clear();
        orders.faults().clear();
        preemptibleAvailable = true;
        controllers.forEach(each -> each.pausedUntilMs = 0);
        routers.forEach(SimulatedRouter::clearFaults);
    }
}
