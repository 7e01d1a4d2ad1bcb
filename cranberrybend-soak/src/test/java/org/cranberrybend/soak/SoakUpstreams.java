package org.cranberrybend.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.platform.standin.StandInStore;
import org.cranberrybend.platform.standin.StandInUpstream;

/** The upstreams of a run, each behind a proxy of its own and with an entry in the key-value store. */
final class SoakUpstreams implements AutoCloseable {
    private static final int ENGINE_COUNT = 4;
    private static final int PLAIN_SERVICE_COUNT = 3;
    private static final int SLOTS_PER_UPSTREAM = 16;

    /** An upstream and the proxy in front of it. */
    record ProxiedUpstream(StandInUpstream upstream, LoopbackProxy proxy) {}

    private final StandInStore store;
    private final Promises promises;
    private final List<String> zones;
    private final List<ProxiedUpstream> listed = new ArrayList<>();
    private final List<ProxiedUpstream> replaced = new ArrayList<>();
    private int startedCount;
    private int heartbeatCount;

    SoakUpstreams(StandInStore store, Promises promises, List<String> zones) throws IOException {
        this.store = store;
        this.promises = promises;
        this.zones = List.copyOf(zones);
        for (int i = 0; i < ENGINE_COUNT + PLAIN_SERVICE_COUNT; i++) {
            add(i < ENGINE_COUNT ? "model" : "desk");
        }
    }

    private synchronized void add(String service) throws IOException {
        String zone = zones.get(startedCount % zones.size());
        StandInUpstream upstream = new StandInUpstream(
                "up-" + startedCount++, service, zone, SLOTS_PER_UPSTREAM, promises::recordUpstreamRequest);
        LoopbackProxy proxy = new LoopbackProxy(upstream.address());
        listed.add(new ProxiedUpstream(upstream, proxy));
        store.put(upstream.key(), upstream.entry(proxy.port(), false));
    }

    String zone(int number) {
        return zones.get(Math.floorMod(number, zones.size()));
    }

    synchronized ProxiedUpstream pick(int number) {
        return listed.get(Math.floorMod(number, listed.size()));
    }

    /** Rewrites the entry of one upstream, in turn, as its heartbeat. */
    synchronized void writeHeartbeat() {
        ProxiedUpstream proxied = pick(heartbeatCount++);
        store.put(
                proxied.upstream().key(),
                proxied.upstream().entry(proxied.proxy().port(), false));
    }

    /** Has an upstream state in its responses that it is leaving, while its entry stays as it is. */
    synchronized ProxiedUpstream stateLeaving(int number) {
        ProxiedUpstream leaving = pick(number);
        promises.recordLeavingStated(leaving.upstream().id());
        leaving.upstream().stateLeaving();
        return leaving;
    }

    /** Replaces an upstream, which announces that it leaves or whose entry is deleted without notice. */
    synchronized void replace(ProxiedUpstream leaving, boolean announced) throws IOException {
        if (!listed.remove(leaving)) {
            return;
        }
        replaced.add(leaving);
        add(leaving.upstream().service());
        if (announced) {
            store.put(
                    leaving.upstream().key(),
                    leaving.upstream().entry(leaving.proxy().port(), true));
        } else {
            store.delete(leaving.upstream().key());
        }
        promises.recordUpstreamLeaving(leaving.upstream().id());
    }

    void remove(ProxiedUpstream leaving) {
        store.delete(leaving.upstream().key());
    }

    @Override
    public synchronized void close() throws IOException {
        listed.addAll(replaced);
        for (ProxiedUpstream proxied : listed) {
            proxied.proxy().close();
            proxied.upstream().close();
        }
    }
}
