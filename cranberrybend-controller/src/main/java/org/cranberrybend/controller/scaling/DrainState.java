package org.cranberrybend.controller.scaling;

import java.util.Map;
import java.util.TreeMap;

/**
 * Upstreams of the zone that receive no new requests because they are going to be stopped. Immutable.
 *
 * <p>Routers apply the state with the highest fencing number and version, and include both in their reports. A report
 * about an earlier drain of an upstream is thus not mistaken for one about its current drain.
 *
 * @param fencingNumber fencing number of the order lease under which the state was created; 0 for none
 * @param version incremented by each change under one fencing number
 * @param drains draining upstreams by identifier
 */
record DrainState(long fencingNumber, long version, Map<String, Drain> drains) {
    static final DrainState NONE = new DrainState(0, 0, Map.of());

    /**
     * One draining upstream.
     *
     * @param sinceMs start of the drain on the monotonic clock
     * @param version first version of the state that contains the drain
     */
    record Drain(long sinceMs, long version) {}

    DrainState {
        drains = Map.copyOf(drains);
    }

    boolean contains(String upstreamId) {
        return drains.containsKey(upstreamId);
    }

    DrainState with(String upstreamId, long nowMs) {
        Map<String, Drain> changed = new TreeMap<>(drains);
        changed.put(upstreamId, new Drain(nowMs, version + 1));
        return new DrainState(fencingNumber, version + 1, changed);
    }

    DrainState without(String upstreamId) {
        Map<String, Drain> changed = new TreeMap<>(drains);
        changed.remove(upstreamId);
        return new DrainState(fencingNumber, version + 1, changed);
    }
}
