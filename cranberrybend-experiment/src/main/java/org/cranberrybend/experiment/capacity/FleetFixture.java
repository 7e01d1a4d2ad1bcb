package org.cranberrybend.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;

/** Generates members and upstreams with names of realistic length, on which frame sizes depend. */
final class FleetFixture {
    static final int SLOTS = 32;
    private static final int MODELS = 11;
    private static final long INCARNATION = 1_700_000_000_000L;

    private FleetFixture() {}

    /** Returns members with one role, distributed evenly over availability zones. */
    static List<Member> members(int count, int zones, String role) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member("entry-" + i, zone(i % zones), role));
        }
        return members;
    }

    static Member member(String instance, String zone, String role) {
        ProcessIdentity identity = new ProcessIdentity(instance, role, INCARNATION, zone, "alfold");
        return new Member(identity, "10.100.100.100:17003", "10.100.100.100:17002", MemberState.ALIVE);
    }

    /** Returns engines that each serve one of 11 models, distributed evenly over availability zones. */
    static List<Upstream> upstreams(int count, int zones) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(upstream("engine-" + i, zone(i % zones), "model-" + i / zones % MODELS));
        }
        return upstreams;
    }

    static Upstream upstream(String id, String zone, String model) {
        return new Upstream(
                id,
                zone,
                "alfold",
                "10.100.100.100",
                18_000,
                UpstreamKind.ENGINE,
                Set.of(model),
                SLOTS,
                Market.GUARANTEED,
                true,
                false);
    }

    static String zone(int index) {
        return "szeged-" + (char) ('a' + index);
    }
}
