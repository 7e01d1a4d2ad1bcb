package org.cranberrybend.router.shard;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;

/** Keeps the {@link ShardMap} current as members and upstreams change. Reads take no lock. */
final class ShardTable {
    private final MemberDirectory members;
    private final UpstreamSource upstreams;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile ShardMap current;

    ShardTable(MemberDirectory members, UpstreamSource upstreams) {
        this.members = members;
        this.upstreams = upstreams;
        this.current = new ShardMap(upstreams.upstreams(), members.members());
        members.addListener(this::recompute);
        upstreams.addUpstreamListener(this::recompute);
    }

    ShardMap current() {
        return current;
    }

    /** Adds a listener that is called after each change, without locks. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    private void recompute() {
        synchronized (this) {
            current = new ShardMap(upstreams.upstreams(), members.members());
        }
        listeners.forEach(Runnable::run);
    }
}
