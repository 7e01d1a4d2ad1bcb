package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * Divides the engines of a region into a group for latency-sensitive and one for latency-tolerant requests.
 *
 * <p>An engine interleaves the prefill of prompts with the generation of tokens, so each long prompt delays all streams
 * of its engine. Streams with a tight latency target therefore run on engines that few long prompts reach. Instances
 * need not agree on the groups with each other, because each derives them from the list of engines by the same hash.
 */
final class EngineGroups {
    /** Share of a region's engines that serves latency-sensitive requests. */
    private static final double LATENCY_SENSITIVE_SHARE = 0.4;

    /** Key of the hash that orders the engines; all instances must use the same. */
    private static final String HASH_KEY = "urgent lane";

    private EngineGroups() {}

    /** Returns the engines for latency-sensitive or for latency-tolerant requests; a single engine serves both. */
    static List<Upstream> group(List<Upstream> engines, boolean latencySensitive) {
        if (engines.size() < 2) {
            return engines;
        }
        List<Upstream> order = new ArrayList<>(engines);
        order.sort(Comparator.comparingLong(
                each -> RendezvousHash.hash(HASH_KEY, each.entry().id())));
        int latencySensitiveCount = (int) Math.max(1, Math.round(order.size() * LATENCY_SENSITIVE_SHARE));
        return latencySensitive
                ? order.subList(0, latencySensitiveCount)
                : order.subList(latencySensitiveCount, order.size());
    }
}
