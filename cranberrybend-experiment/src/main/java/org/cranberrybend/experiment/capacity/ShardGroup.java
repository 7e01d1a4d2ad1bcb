package org.cranberrybend.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.router.shard.ShardMap;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UpstreamTable;
import org.cranberrybend.wire.node.WireConversions;

/** Costs of the shard map, which each router rebuilds after a change, and of the upstream table, its source. */
final class ShardGroup implements CapacityGroup {
    private static final int[] UPSTREAMS = {10, 100, 714};
    private static final int[] MEMBERS = {2, 20, 86};
    private static final int[] FLEET_UPSTREAMS = {714, 2_500, 5_000, 10_000};
    private static final int ZONE_UPSTREAMS = 714;
    private static final int ZONE_ROUTERS = 86;
    private static final int FLEET_ROUTERS = 1_200;
    private static final int ZONES = 14;

    @Override
    public String name() {
        return "shards";
    }

    @Override
    public List<SlopeMeasurement> measure() {
        Series byUpstreams = new Series("CPU to build ShardMap; 1 zone, 86 routers", "upstreams", "us");
        for (int upstreams : UPSTREAMS) {
            byUpstreams.add(upstreams, buildUs(upstreams, ZONE_ROUTERS, 1));
        }
        Series byMembers = new Series("CPU to build ShardMap; 1 zone, 714 upstreams", "routers", "us");
        for (int members : MEMBERS) {
            byMembers.add(members, buildUs(ZONE_UPSTREAMS, members, 1));
        }
        Series byFleet = new Series("CPU to build ShardMap; 14 zones, 1200 routers", "upstreams", "us");
        Series tableBytes = new Series("UpstreamTable frame", "upstreams", "bytes");
        Series tableCpu = new Series("CPU to encode and decode an UpstreamTable", "upstreams", "us");
        for (int upstreams : FLEET_UPSTREAMS) {
            byFleet.add(upstreams, buildUs(upstreams, FLEET_ROUTERS, ZONES));
            List<Upstream> announced = FleetFixture.upstreams(upstreams, ZONES);
            tableBytes.add(upstreams, Frames.bytes(table(announced)));
            tableCpu.add(upstreams, ResourceMeter.medianCpuUs(() -> transfer(announced)));
        }
        return List.of(
                byUpstreams.toMeasurement(),
                byMembers.toMeasurement(),
                byFleet.toMeasurement(),
                tableBytes.toMeasurement(),
                tableCpu.toMeasurement());
    }

    private static double buildUs(int upstreams, int routers, int zones) {
        List<Upstream> announced = FleetFixture.upstreams(upstreams, zones);
        List<Member> members = FleetFixture.members(routers, zones, "router");
        return ResourceMeter.medianCpuUs(() -> new ShardMap(announced, members));
    }

    private static Envelope.Builder table(List<Upstream> upstreams) {
        return Envelope.newBuilder()
                .setUpstreamTable(UpstreamTable.newBuilder()
                        .setReadAtMs(1_700_000_000_000L)
                        .addAllUpstreams(
                                upstreams.stream().map(WireConversions::toWire).toList()));
    }

    private static List<Upstream> transfer(List<Upstream> upstreams) {
        List<Upstream> received = new ArrayList<>();
        Frames.transfer(table(upstreams))
                .getUpstreamTable()
                .getUpstreamsList()
                .forEach(info -> received.add(WireConversions.fromWire(info)));
        return received;
    }
}
