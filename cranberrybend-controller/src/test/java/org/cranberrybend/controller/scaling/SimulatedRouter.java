package org.cranberrybend.controller.scaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.wire.generated.DemandReport;
import org.cranberrybend.wire.generated.PoolDemand;
import org.cranberrybend.wire.generated.TierDemand;

/** A router as seen by a controller: it serves its share of the demand, holds slots and sends demand reports. */
final class SimulatedRouter {
    private static final int SERVED_TOKENS_PER_SLOT_SECOND = 25;
    private static final int QUARTERS = 4;

    private Member member;
    private long sequence;
    private long upperOfferedTokens;
    private long lowerOfferedTokens;
    private DemandReport previous = DemandReport.getDefaultInstance();
    private DrainState applied = DrainState.NONE;
    private List<Upstream> listed = List.of();
    private final Map<String, Integer> slots = new HashMap<>();
    int reportsToLose;
    int acknowledgementsToLose;
    boolean repeatReports;

    SimulatedRouter(Member member) {
        this.member = member;
    }

    Member member() {
        return member;
    }

    int slotsOn(String upstreamId) {
        return slots.getOrDefault(upstreamId, 0);
    }

    void serve(List<Upstream> upstreams, long tokens, int upperQuarters) {
        listed = upstreams;
        upperOfferedTokens += tokens * upperQuarters / QUARTERS;
        lowerOfferedTokens += tokens - tokens * upperQuarters / QUARTERS;
        slots.keySet().retainAll(upstreams.stream().map(Upstream::id).toList());
    }

    /** Holds a slot for a long-running request on an upstream that accepts new requests. */
    void holdSlot(int which) {
        List<String> usable = listed.stream()
                .filter(each -> !each.leaving() && !applied.contains(each.id()))
                .map(Upstream::id)
                .toList();
        if (!usable.isEmpty()) {
            slots.merge(usable.get(which % usable.size()), 1, Integer::sum);
        }
    }

    void releaseSlots() {
        slots.clear();
    }

    void restart() {
        ProcessIdentity old = member.identity();
        ProcessIdentity identity =
                new ProcessIdentity(old.instance(), old.role(), old.incarnation() + 1, old.zone(), old.region());
        member = new Member(identity, member.peerAddress(), member.adminAddress(), member.state());
        sequence = 0;
        upperOfferedTokens = 0;
        lowerOfferedTokens = 0;
        applied = DrainState.NONE;
        slots.clear();
    }

    void clearFaults() {
        reportsToLose = 0;
        acknowledgementsToLose = 0;
        repeatReports = false;
    }

    void report(List<SimulatedZone.Controller> controllers, long nowMs) {
        DemandReport report = nextReport();
        DrainState newest = applied;
        for (SimulatedZone.Controller controller : controllers) {
            if (controller.isPaused() || reportsToLose > 0) {
                continue;
            }
            long incarnation = member.identity().incarnation();
            controller.collector.receive(member.id(), incarnation, report, nowMs);
            if (repeatReports) {
                controller.collector.receive(member.id(), incarnation, previous, nowMs);
                controller.collector.receive(member.id(), incarnation, report, nowMs);
            }
            DrainState reply = controller.source.drains();
            boolean isNewer = reply.fencingNumber() > newest.fencingNumber()
                    || (reply.fencingNumber() == newest.fencingNumber() && reply.version() >= newest.version());
            if (acknowledgementsToLose == 0 && reply.fencingNumber() > 0 && isNewer) {
                newest = reply;
            }
        }
        applied = newest;
        previous = report;
        reportsToLose = Math.max(0, reportsToLose - 1);
        acknowledgementsToLose = Math.max(0, acknowledgementsToLose - 1);
    }

    private DemandReport nextReport() {
        Set<String> draining = applied.drains().keySet();
        long tokens = upperOfferedTokens + lowerOfferedTokens;
        return DemandReport.newBuilder()
                .setSequence(++sequence)
                .setDrainFencingNumber(applied.fencingNumber())
                .setDrainVersion(applied.version())
                .addAllBusyDrainingUpstreams(
                        draining.stream().filter(each -> slotsOn(each) > 0).toList())
                .addPools(PoolDemand.newBuilder()
                        .setService(SimulatedZone.MODEL)
                        .setServedTokens(tokens)
                        .setServedExpectedTokens(tokens)
                        .setServedSlotMs(tokens * 1_000 / SERVED_TOKENS_PER_SLOT_SECOND)
                        .addTiers(TierDemand.newBuilder().setTier(1).setOfferedTokens(upperOfferedTokens))
                        .addTiers(TierDemand.newBuilder().setTier(2).setOfferedTokens(lowerOfferedTokens)))
                .build();
    }
}
