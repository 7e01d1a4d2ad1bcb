package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * Divides the engines of a region between urgent and patient requests.
 *
 * <p>An engine reads prompts in chunks between the tokens that it generates, so each long prompt delays every stream on
 * its engine. Streams with a tight target therefore run on engines that read few long prompts. Every instance computes
 * the same division from the list of engines, without a word between them.
 */
final class EngineLanes {
    /** Share of a region's engines that serve urgent requests. */
    private static final double URGENT_SHARE = 0.4;

    private static final String ORDER_KEY = "urgent lane";

    private EngineLanes() {}

    /** Returns the engines for urgent or for patient requests; all of them if there is only one. */
    static List<Upstream> lane(List<Upstream> engines, boolean urgent) {
        if (engines.size() < 2) {
            return engines;
        }
        List<Upstream> order = new ArrayList<>(engines);
        order.sort(Comparator.comparingLong(
                each -> RendezvousHash.hash(ORDER_KEY, each.entry().id())));
        int urgentCount = (int) Math.max(1, Math.round(order.size() * URGENT_SHARE));
        return urgent ? order.subList(0, urgentCount) : order.subList(urgentCount, order.size());
    }
}
