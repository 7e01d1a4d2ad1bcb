package org.cranberrybend.router.route;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.wire.node.UpstreamSource;
import org.junit.jupiter.api.Test;

class ZoneCandidatesTest {
    private static final long BYTES_PER_SECOND = 1_000;
    private static final long BURST_BYTES = 5_000;

    private final ManualTimeSource clock = new ManualTimeSource(0);
    private final Upstream near = upstream("near", "debrecen-a", "alfold");
    private final Upstream far = upstream("far", "gyor-a", "dunantul");

    private static Upstream upstream(String id, String zone, String region) {
        return new Upstream(
                id,
                zone,
                region,
                "127.0.0.1",
                1,
                UpstreamKind.ENGINE,
                Set.of("stub-writer"),
                1,
                Market.GUARANTEED,
                true,
                false);
    }

    private ZoneCandidates candidates(Upstream... upstreams) {
        UpstreamSource source = new UpstreamSource() {
            @Override
            public long upstreamsReadAtMs() {
                return 1;
            }

            @Override
            public List<Upstream> upstreams() {
                return List.of(upstreams);
            }

            @Override
            public void offerUpstreams(List<Upstream> offered, long readAtMs) {
                throw new AssertionError("not expected");
            }

            @Override
            public void addUpstreamListener(Runnable listener) {
                throw new AssertionError("not expected");
            }
        };
        return new ZoneCandidates("szeged-a", "alfold", source, clock, BYTES_PER_SECOND, BURST_BYTES);
    }

    // Guards against a burst of spillover requests that saturates the billed inter-region link.
    @Test
    void otherRegionIsUsedOnlyWithinTheBudget() throws RequestFailedException {
        ZoneCandidates candidates = candidates(near, far);
        assertThat(candidates.zonesFor("stub-writer", 4_000))
                .containsExactly("debrecen-a", "gyor-a")
                .inOrder();

        LinkCharge charge = candidates.charge(far, 4_000);
        assertThat(candidates.zonesFor("stub-writer", 4_000)).containsExactly("debrecen-a");

        charge.settle(1_000);
        assertThat(candidates.zonesFor("stub-writer", 4_000)).contains("gyor-a");
    }

    // Guards against a budget whose overdraft is not repaid.
    @Test
    void responseLongerThanExpectedIsPaidOff() throws RequestFailedException {
        ZoneCandidates candidates = candidates(near, far);
        candidates.charge(far, 1_000).settle(8_000);

        clock.advanceMs(3_500);
        assertThat(candidates.zonesFor("stub-writer", 1_000)).containsExactly("debrecen-a");
        clock.advanceMs(1_000);
        assertThat(candidates.zonesFor("stub-writer", 1_000)).contains("gyor-a");
    }

    // Guards against charging the link budget for a request that stayed within the region.
    @Test
    void requestsInsideTheRegionAreFree() throws RequestFailedException {
        ZoneCandidates candidates = candidates(near, far);

        candidates.charge(near, 1_000_000).settle(1_000_000);

        assertThat(candidates.zonesFor("stub-writer", 4_000)).contains("gyor-a");
    }

    // Guards against a request that waits although no zone can serve it.
    @Test
    void exhaustedBudgetWithoutNearerZoneIsRefused() {
        ZoneCandidates candidates = candidates(far);
        candidates.charge(far, 5_000);

        RequestFailedException failure =
                assertThrows(RequestFailedException.class, () -> candidates.zonesFor("stub-writer", 4_000));

        assertThat(failure.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    }
}
