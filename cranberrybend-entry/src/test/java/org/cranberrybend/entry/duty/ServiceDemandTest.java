package org.cranberrybend.entry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.entry.testing.Upstreams;
import org.cranberrybend.entry.upstream.Upstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceDemandTest {
    private final ServiceDemand demand = new ServiceDemand();

    private static List<Upstream> upstreams(int count) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(Upstreams.listed("upstream-" + i, "zone-a"));
        }
        return upstreams;
    }

    // Guards against releasing upstreams of a large fleet because the lease holder has load reports of only some.
    @Test
    void upstreamsWithoutReportCountAsMean() {
        List<Upstream> upstreams = upstreams(100);
        upstreams.subList(0, 20).forEach(each -> each.reported(5, 1, 1_000));
        assertThat(demand.peakRequests(upstreams, 2_000)).isEqualTo(600);
    }

    // Guards against outdated load reports being taken for the current load.
    @Test
    void ownRequestsCountWithoutRecentReports() {
        List<Upstream> upstreams = upstreams(4);
        upstreams.forEach(each -> each.reported(9, 9, 1_000));
        upstreams.get(0).begin(0);
        assertThat(demand.peakRequests(upstreams, 60_000)).isEqualTo(1);
    }

    // Guards against upstreams that are released between two bursts and then ordered again.
    @Test
    void peakIsHeld() {
        List<Upstream> upstreams = upstreams(2);
        upstreams.forEach(each -> each.reported(10, 0, 1_000));
        assertThat(demand.peakRequests(upstreams, 1_000)).isEqualTo(20);
        upstreams.forEach(each -> each.reported(1, 0, 5_000));
        assertThat(demand.peakRequests(upstreams, 5_000)).isEqualTo(20);
        upstreams.forEach(each -> each.reported(1, 0, 12_000));
        assertThat(demand.peakRequests(upstreams, 12_000)).isEqualTo(2);
    }

    // Guards against too few engines for many instances, and against too many engines that each run many requests.
    @ParameterizedTest
    @CsvSource({"8, 128, 3, 4", "6, 128, 3, 4", "65, 16, 6, 22", "73, 24, 6, 17", "73, 0, 6, 4", "0, 16, 6, 4"})
    void baseFollowsInstancesAndSlots(int instances, int slots, int zones, int perZone) {
        assertThat(ServiceDemand.basePerZone(instances, slots, zones)).isEqualTo(perZone);
    }
}
