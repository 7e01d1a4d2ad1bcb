package org.cranberrybend.controller.scaling;

import java.util.Map;
import java.util.TreeMap;

/**
 * Upstreams of the zone that receive no new requests because they are about to be stopped. Immutable.
 *
 * <p>Routers apply the state with the highest fencing number and version and name both in their reports, so that a report
 * of an earlier drain of the same upstream is not taken for one of the present drain.
 *
 * @param fencingNumber fencing number of the order lease under which the state was made; 0 for none
 * @param version increases with each change under one fencing number
 * @param drains draining upstreams by identifier
 */
record DrainState(long fencingNumber, long version, Map<String, Drain> drains) {
    static final DrainState NONE = new DrainState(0, 0, Map.of());

    /**
     * One draining upstream.
     *
     * @param sinceMs monotonic clock at the start of the drain
     * @param version first version of the state that contains it
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
