package org.cranberrybend.router.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.router.FakeProcess;
import org.junit.jupiter.api.Test;

class ShardMapHolderTest {
    // Guards against a rebuild for each configuration change, and against a missed change of members or upstreams.
    @Test
    void rebuildsOnlyWhenMembersOrUpstreamsChange() throws Exception {
        FakeProcess process = new FakeProcess();
        ShardMapHolder holder = new ShardMapHolder(process, process);
        ShardMap first = holder.current();
        process.set(EntityKind.SETTING, "limit", "1");
        assertThat(holder.current()).isSameInstanceAs(first);
        process.members.add(FakeProcess.member("entry-2", "router", 1));
        process.set(EntityKind.SETTING, "limit", "2");
        ShardMap second = holder.current();
        assertThat(second).isNotSameInstanceAs(first);
        Upstream engine = new Upstream(
                "engine-1",
                "zone-a",
                "region-1",
                "127.0.0.1",
                1,
                UpstreamKind.ENGINE,
                Set.of("model-a"),
                1,
                Market.GUARANTEED,
                false,
                false);
        process.setUpstreams(List.of(engine));
        assertThat(holder.current().ownersOfUpstream("engine-1")).hasSize(1);
    }
}
