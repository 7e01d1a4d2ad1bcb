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
 * What the recorded orders of the zone mean for its upstreams, which the list of instances shows with a lag.
 *
 * <p>A start counts as running from its intent until its upstream is listed; a stopped upstream counts as charged until it
 * is no longer listed. An order that shows no effect for a long time counts as without effect, so that one lost by the
 * platform does not block the need for ever.
 *
 * <p>Edge cases: the platform may start an upstream again under the name of a stopped one, so of several orders that name
 * an upstream only the latest counts; a listed upstream is taken as the result of its start only for good after the lag
 * of the list, since the entry may be that of its predecessor.
 *
 * <p>Used by one thread. Times are milliseconds on the monotonic clock of this process, which another holder's cannot be
 * compared with.
 */
final class OrderHistory {
    /** Longest lag of the list of instances that is planned for. */
    private static final long LIST_LAG_MS = 5_000;

    private final long orderEffectMs;
    private final long unavailableMs;
    private final Map<String, Long> firstSeenMs = new HashMap<>();
    private final Set<String> effective = new HashSet<>();

    private final Map<String, Map<Market, Integer>> pendingStarts = new HashMap<>();
    private final Map<String, Set<Market>> unavailable = new HashMap<>();
    private final Set<String> stopping = new HashSet<>();

    OrderHistory(long orderEffectMs, long unavailableMs) {
        this.orderEffectMs = orderEffectMs;
        this.unavailableMs = unavailableMs;
    }

    /** Takes over the present orders and upstreams of the zone. */
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
        effective.retainAll(present);
    }

    private void updateStart(
            OrderIntent intent,
            Optional<AcceptedOrder> order,
            Map<String, AcceptedOrder> latestByUpstream,
            Map<String, Upstream> listed,
            long ageMs) {
        if (order.isPresent() && order.get().isUnavailable()) {
            if (ageMs < unavailableMs) {
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
        if (isListed && ageMs >= LIST_LAG_MS) {
            effective.add(intent.orderId());
        }
        if (!isListed && !replaced && !effective.contains(intent.orderId()) && !isWithoutEffect(intent, ageMs)) {
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
            effective.add(intent.orderId());
        }
        if (!replaced && !effective.contains(intent.orderId()) && !isWithoutEffect(intent, ageMs)) {
            stopping.add(upstreamId);
        }
    }

    /** An order without a response is settled by the sender, so only a confirmed one can be without effect. */
    private boolean isWithoutEffect(OrderIntent intent, long ageMs) {
        return intent.state() == OrderState.CONFIRMED && ageMs >= orderEffectMs;
    }

    /** Returns the start orders whose upstream is not listed yet. */
    int pendingStarts(String model, Market market) {
        return pendingStarts.getOrDefault(model, Map.of()).getOrDefault(market, 0);
    }

    /** Returns whether the platform lately had no upstream of a market. */
    boolean isUnavailable(String model, Market market) {
        return unavailable.getOrDefault(model, Set.of()).contains(market);
    }

    /** Returns whether a stop order of an upstream was sent or may have been sent. */
    boolean isStopping(String upstreamId) {
        return stopping.contains(upstreamId);
    }
}
