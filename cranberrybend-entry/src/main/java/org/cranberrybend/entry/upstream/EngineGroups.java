package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.configuration.LatencyClass;

/**
 * Divides the engines of a region into groups for the latency classes. Instances need not agree on the groups with each
 * other, because each derives them from the list of engines by the same hash.
 */
final class EngineGroups {
    /** Key of the hash that orders the engines; all instances must use the same. */
    private static final String HASH_KEY = "urgent lane";

    private EngineGroups() {}

    /** Returns the engines that serve requests of a latency class. */
    static List<Upstream> group(List<Upstream> engines, LatencyClass latencyClass) {
        List<Upstream> order = new ArrayList<>(engines);
        order.sort(Comparator.comparingLong(
                each -> RendezvousHash.hash(HASH_KEY, each.entry().id())));
        return latencyClass.partOf(order);
    }
}
