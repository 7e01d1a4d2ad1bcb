package org.cranberrybend.controller.scaling;

import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.lease.OrderAction;
import org.cranberrybend.core.lease.OrderIntent;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.runtime.platform.AcceptedOrder;

/**
 * Tracks the orders of the zone that are not yet visible in the instance list, because the list lags behind.
 *
 * <p>A start counts as pending from the creation of its intent until its upstream is listed. A stopped upstream counts
 * as stopping, and thus as billable, until it is no longer listed. An order without a visible effect times out, so that
 * an order lost by the platform does not prevent a replacement forever.
 *
 * <p>Edge cases: the platform may reuse the name of a stopped upstream for a new one, so only the latest of the orders
 * that name an upstream counts. A start is complete only when its upstream is listed after the lag of the list, because
 * an earlier entry may be that of the previous upstream of this name.
 *
 * <p>Confined to one thread. Times are milliseconds on the monotonic clock of this process; clocks of two lease holders
 * cannot be compared.
 */
final class OrderTracker {
    /** Longest expected lag of the instance list. */
    private static final long MAX_LIST_LAG_MS = 5_000;

    private final long effectTimeoutMs;
    private final long unavailableRetryMs;
    private final Map<String, Long> firstSeenMs = new HashMap<>();
    private final Set<String> completedOrders = new HashSet<>();

    private final Map<String, Map<Market, Integer>> pendingStarts = new HashMap<>();
    private final Map<String, Set<Market>> unavailable = new HashMap<>();
    private final Set<String> stopping = new HashSet<>();

    OrderTracker(long effectTimeoutMs, long unavailableRetryMs) {
        this.effectTimeoutMs = effectTimeoutMs;
        this.unavailableRetryMs = unavailableRetryMs;
    }

    /** Updates the state from the current orders and upstreams of the zone. */
    void update(
            Collection<OrderIntent> intents, List<AcceptedOrder> accepted, Collection<Upstream> upstreams, long nowMs) {
        Map<String, AcceptedOrder> acceptedById = new HashMap<>();
        Map<String, AcceptedOrder> latestByUpstream = new HashMap<>();
        for (AcceptedOrder order : accepted) {
            acceptedById.put(order.orderId(), order);
            if (!order.upstreamId().isEmpty()) {
                latestByUpstream.put(order.upstreamId(), order);
            }
        }
        Map<String, Upstream> listed = new HashMap<>();
        upstreams.forEach(upstream -> listed.put(upstream.id(), upstream));
        pendingStarts.clear();
        unavailable.clear();
        stopping.clear();
        Set<String> present = new HashSet<>();
        for (OrderIntent intent : intents) {
            if (intent.state() == OrderState.ABANDONED) {
                continue;
            }
            present.add(intent.orderId());
            long ageMs = nowMs - firstSeenMs.computeIfAbsent(intent.orderId(), id -> nowMs);
            Optional<AcceptedOrder> order = Optional.ofNullable(acceptedById.get(intent.orderId()));
            if (intent.action() == OrderAction.STOP) {
                updateStop(intent, order, latestByUpstream, listed, ageMs);
            } else {
                updateStart(intent, order, latestByUpstream, listed, ageMs);
            }
        }
        firstSeenMs.keySet().retainAll(present);
        completedOrders.retainAll(present);
    }

    private void updateStart(
            OrderIntent intent,
            Optional<AcceptedOrder> order,
            Map<String, AcceptedOrder> latestByUpstream,
            Map<String, Upstream> listed,
            long ageMs) {
        if (order.isPresent() && order.get().isUnavailable()) {
            if (ageMs < unavailableRetryMs) {
                unavailable
                        .computeIfAbsent(intent.model(), model -> EnumSet.noneOf(Market.class))
                        .add(intent.market());
            }
            return;
        }
        String upstreamId = order.map(AcceptedOrder::upstreamId).orElse("");
        boolean isListed =
                listed.containsKey(upstreamId) && !listed.get(upstreamId).leaving();
        boolean replaced = !upstreamId.isEmpty()
                && !latestByUpstream.get(upstreamId).orderId().equals(intent.orderId());
        if (isListed && ageMs >= MAX_LIST_LAG_MS) {
            completedOrders.add(intent.orderId());
        }
        if (!isListed && !replaced && !completedOrders.contains(intent.orderId()) && !isTimedOut(intent, ageMs)) {
            pendingStarts
                    .computeIfAbsent(intent.model(), model -> new HashMap<>())
                    .merge(intent.market(), 1, Integer::sum);
        }
    }

    private void updateStop(
            OrderIntent intent,
            Optional<AcceptedOrder> order,
            Map<String, AcceptedOrder> latestByUpstream,
            Map<String, Upstream> listed,
            long ageMs) {
        String upstreamId = intent.upstreamId();
        AcceptedOrder latest = latestByUpstream.get(upstreamId);
        boolean replaced =
                order.isPresent() && latest != null && !latest.orderId().equals(intent.orderId());
        if (!listed.containsKey(upstreamId)) {
            completedOrders.add(intent.orderId());
        }
        if (!replaced && !completedOrders.contains(intent.orderId()) && !isTimedOut(intent, ageMs)) {
            stopping.add(upstreamId);
        }
    }

    /** Returns whether a confirmed order had no effect in time. Orders with an unknown outcome are reconciled first. */
    private boolean isTimedOut(OrderIntent intent, long ageMs) {
        return intent.state() == OrderState.CONFIRMED && ageMs >= effectTimeoutMs;
    }

    /** Returns the number of start orders whose upstream is not listed yet. */
    int pendingStarts(String model, Market market) {
        return pendingStarts.getOrDefault(model, Map.of()).getOrDefault(market, 0);
    }

    /** Returns whether the platform recently had no upstream available in a market. */
    boolean isUnavailable(String model, Market market) {
        return unavailable.getOrDefault(model, Set.of()).contains(market);
    }

    /** Returns whether a stop order for an upstream was sent or may have been sent. */
    boolean isStopping(String upstreamId) {
        return stopping.contains(upstreamId);
    }
}
