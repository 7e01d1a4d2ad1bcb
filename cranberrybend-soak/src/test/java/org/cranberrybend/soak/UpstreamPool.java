package org.cranberrybend.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.platform.standin.StandInStore;
import org.cranberrybend.platform.standin.StandInUpstream;

/** The upstreams of a run, each behind a proxy of its own and listed in the store. */
final class UpstreamPool implements AutoCloseable {
    private static final int ENGINES = 4;
    private static final int PLAIN = 3;
    private static final int SLOTS = 16;

    /** An upstream that is listed. */
    record Listed(StandInUpstream upstream, LoopbackProxy proxy) {}

    private final StandInStore store;
    private final Promises promises;
    private final List<String> zones;
    private final List<Listed> listed = new ArrayList<>();
    private final List<Listed> left = new ArrayList<>();
    private int started;
    private int beats;

    UpstreamPool(StandInStore store, Promises promises, List<String> zones) throws IOException {
        this.store = store;
        this.promises = promises;
        this.zones = List.copyOf(zones);
        for (int i = 0; i < ENGINES + PLAIN; i++) {
            add(i < ENGINES ? "model" : "desk");
        }
    }

    private synchronized void add(String service) throws IOException {
        String zone = zones.get(started % zones.size());
        StandInUpstream upstream = new StandInUpstream("up-" + started++, service, zone, SLOTS, promises::arrived);
        LoopbackProxy proxy = new LoopbackProxy(upstream.address());
        listed.add(new Listed(upstream, proxy));
        store.put(upstream.key(), upstream.entry(proxy.port(), false));
    }

    synchronized Listed pick(int number) {
        return listed.get(Math.floorMod(number, listed.size()));
    }

    /** One upstream writes its entry again as a sign of life. */
    synchronized void beat() {
        Listed each = pick(beats++);
        store.put(each.upstream().key(), each.upstream().entry(each.proxy().port(), false));
    }

    /** An upstream announces that it leaves, or is just not listed any more; another one takes its place. */
    synchronized Listed leave(int number, boolean announced) throws IOException {
        Listed leaving = pick(number);
        listed.remove(leaving);
        left.add(leaving);
        add(leaving.upstream().service());
        if (announced) {
            store.put(
                    leaving.upstream().key(),
                    leaving.upstream().entry(leaving.proxy().port(), true));
        } else {
            store.delete(leaving.upstream().key());
        }
        promises.upstreamLeaves(leaving.upstream().id());
        return leaving;
    }

    void remove(Listed leaving) {
        store.delete(leaving.upstream().key());
    }

    @Override
    public synchronized void close() throws IOException {
        listed.addAll(left);
        for (Listed each : listed) {
            each.proxy().close();
            each.upstream().close();
        }
    }
}
