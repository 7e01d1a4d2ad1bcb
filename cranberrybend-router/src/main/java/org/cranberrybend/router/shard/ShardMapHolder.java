package org.cranberrybend.router.shard;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Holds the current {@link ShardMap} and rebuilds it when members or upstreams change. Reads are lock-free.
 *
 * <p>Member listeners are also called for each configuration change, which does not affect the map. The map is
 * therefore rebuilt only if its inputs differ: building it for 10,000 upstreams takes 140 to 260 ms of CPU time.
 */
final class ShardMapHolder {
    private final MemberDirectory members;
    private final UpstreamSource upstreams;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    /** Upstreams and members that the current map was built from; guarded by this object. */
    private List<Upstream> currentUpstreams;

    private List<Member> currentMembers;
    private volatile ShardMap current;

    ShardMapHolder(MemberDirectory members, UpstreamSource upstreams) {
        this.members = members;
        this.upstreams = upstreams;
        this.currentUpstreams = List.copyOf(upstreams.upstreams());
        this.currentMembers = List.copyOf(members.members());
        this.current = new ShardMap(currentUpstreams, currentMembers);
        members.addListener(this::rebuildIfChanged);
        upstreams.addUpstreamListener(this::rebuildIfChanged);
    }

    ShardMap current() {
        return current;
    }

    /** Adds a listener that is called after each rebuild of the map, without locks held. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    private void rebuildIfChanged() {
        synchronized (this) {
            List<Upstream> newUpstreams = List.copyOf(upstreams.upstreams());
            List<Member> newMembers = List.copyOf(members.members());
            if (newUpstreams.equals(currentUpstreams) && newMembers.equals(currentMembers)) {
                return;
            }
            currentUpstreams = newUpstreams;
            currentMembers = newMembers;
            current = new ShardMap(newUpstreams, newMembers);
        }
        listeners.forEach(Runnable::run);
    }
}
