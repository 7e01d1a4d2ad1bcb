package org.cranberrybend.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines the outcome of orders without a response from the list of orders that the platform has accepted.
 *
 * <p>An order is never sent again, because one that is not in the list may still be in transit and would then arrive
 * twice. It is abandoned once it can no longer arrive. If the upstream is still needed, a new order is made.
 *
 * <p>Intents in the state {@code INTENDED} are abandoned at once. Their author has to change them to {@code SENT}
 * before it sends the order, and that change fails once they are abandoned, even if the author was paused in between.
 *
 * <p>Not thread-safe.
 */
public final class OrderReconciler {
    private final long deliveryLimitMs;
    /**
     * When this process first saw an intent as sent, on its monotonic clock. A time stored by another process could not
     * be compared with it.
     */
    private final Map<String, Long> firstSeenSentMs = new HashMap<>();

    /** Creates a reconciler; {@code deliveryLimitMs} is the time after which a sent order can no longer arrive. */
    public OrderReconciler(long deliveryLimitMs) {
        this.deliveryLimitMs = deliveryLimitMs;
    }

    /**
     * Returns the intents whose state changes, with their new state.
     *
     * @param intents intents, read before the platform's list; none may be in progress in this process
     * @param acceptedOrderIds identifiers of the orders that the platform has accepted
     * @param listReadMs time on the monotonic clock before the list was read, in milliseconds
     */
    public List<OrderIntent> reconcile(Collection<OrderIntent> intents, Set<String> acceptedOrderIds, long listReadMs) {
        List<OrderIntent> reconciled = new ArrayList<>();
        Set<String> open = new HashSet<>();
        for (OrderIntent intent : intents) {
            if (intent.state().isFinal()) {
                continue;
            }
            open.add(intent.orderId());
            if (intent.state() == OrderState.INTENDED) {
                reconciled.add(intent.withState(OrderState.ABANDONED));
            } else if (acceptedOrderIds.contains(intent.orderId())) {
                reconciled.add(intent.withState(OrderState.CONFIRMED));
            } else if (listReadMs - firstSeenSentMs.computeIfAbsent(intent.orderId(), id -> listReadMs)
                    >= deliveryLimitMs) {
                reconciled.add(intent.withState(OrderState.ABANDONED));
            }
        }
        firstSeenSentMs.keySet().retainAll(open);
        return reconciled;
    }
}
