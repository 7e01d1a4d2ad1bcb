package org.cranberrybend.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides what became of orders without a response, from what the platform says it has accepted.
 *
 * <p>An order is never sent again: one that is not found may still be on its way, and one that arrives late must not
 * arrive twice. It is abandoned after it can no longer arrive; if the need remains, it leads to a new order.
 *
 * <p>Intents that are only intended are abandoned at once. Their author must change them to sent before it sends, and
 * that change then fails, also in a process that was paused.
 *
 * <p>Not thread-safe.
 */
public final class OrderReconciler {
    private final long settleMs;
    /** Monotonic clock at which an intent was first seen as sent; clocks of two processes cannot be compared. */
    private final Map<String, Long> seenSentMs = new HashMap<>();

    /** Creates a reconciler; {@code settleMs} is the time after which a sent order can no longer arrive. */
    public OrderReconciler(long settleMs) {
        this.settleMs = settleMs;
    }

    /**
     * Returns the intents whose state changes, in their new state.
     *
     * @param intents intents as read before the platform's list; none may be in work by this process
     * @param acceptedOrderIds orders that the platform has accepted
     * @param listReadMs monotonic clock before the list was read, in milliseconds
     */
    public List<OrderIntent> reconcile(Collection<OrderIntent> intents, Set<String> acceptedOrderIds, long listReadMs) {
        List<OrderIntent> settled = new ArrayList<>();
        Set<String> open = new HashSet<>();
        for (OrderIntent intent : intents) {
            if (intent.state().isFinal()) {
                continue;
            }
            open.add(intent.orderId());
            if (intent.state() == OrderState.INTENDED) {
                settled.add(intent.withState(OrderState.ABANDONED));
            } else if (acceptedOrderIds.contains(intent.orderId())) {
                settled.add(intent.withState(OrderState.CONFIRMED));
            } else if (listReadMs - seenSentMs.computeIfAbsent(intent.orderId(), id -> listReadMs) >= settleMs) {
                settled.add(intent.withState(OrderState.ABANDONED));
            }
        }
        seenSentMs.keySet().retainAll(open);
        return settled;
    }
}
