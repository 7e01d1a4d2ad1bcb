package org.cranberrybend.entry.upstream;

import java.util.Arrays;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.configuration.LatencyClass;

/**
 * Divides the engines of a region into groups for the latency classes. All instances with the same list of engines derive
 * the same groups by a hash, without messages. Reused for all choices of an event loop.
 */
final class EngineGroups {
    /** Key of the hash that orders the engines; all instances must use the same. */
    private static final String HASH_KEY = "urgent lane";

    private long[] hashes = new long[128];

    /** Returns the hash that determines the group of an engine. */
    static long hash(String upstreamId) {
        return RendezvousHash.hash(HASH_KEY, upstreamId);
    }

    /** Adds to the group the engines that serve requests of a latency class. */
    void addGroup(UpstreamCandidates engines, LatencyClass latencyClass, UpstreamCandidates group) {
        int size = engines.size();
        if (size < 2 || latencyClass == LatencyClass.UNIFORM) {
            group.addAll(engines);
            return;
        }
        if (hashes.length < size) {
            hashes = new long[size * 2];
        }
        for (int i = 0; i < size; i++) {
            hashes[i] = engines.get(i).engine().groupHash();
        }
        Arrays.sort(hashes, 0, size);
        long firstTolerant = hashes[latencyClass.sensitiveCount(size)];
        for (int i = 0; i < size; i++) {
            boolean sensitive = engines.get(i).engine().groupHash() < firstTolerant;
            if (sensitive == latencyClass.isSensitive()) {
                group.add(engines.get(i));
            }
        }
    }
}
