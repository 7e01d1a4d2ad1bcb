package org.cranberrybend.controller.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.lease.OrderIntent;
import org.cranberrybend.core.lease.OrderReconciler;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrders;

/**
 * Processes the upstream orders of a zone while this controller holds the zone's order lease. Each run reconciles the
 * orders whose outcome is unknown, including those of a previous lease holder, and then sends the planned orders.
 *
 * <p>Confined to one thread. The reconciler requires that this process is not sending an order while it runs.
 */
public final class OrderProcessor implements PeriodicTask.Step {
    // Intents in a final state are kept so that operators can investigate an order.
    private static final long FINAL_INTENT_RETENTION_MS = 3_600_000;

    private final String zone;
    private final IntentStore intents;
    private final UpstreamOrders orders;
    private final LeaseHolder lease;
    private final OrderSource source;
    private final OrderSender sender;
    private final OrderReconciler reconciler;
    private final TimeSource time;
    private final EventLog events;
    private final long periodMs;
    private final Map<String, Long> finalSeenMs = new HashMap<>();

    /**
     * Creates the order processor of a zone.
     *
     * @param times timing of the zone's lease; its write timeout is the timeout of an order
     * @param orderIdSuffix returns a unique string on each call, also across restarts
     * @param periodMs delay between two runs in milliseconds
     */
    public OrderProcessor(
            String zone,
            KeyValueStore store,
            UpstreamOrders orders,
            LeaseHolder lease,
            LeaseTimes times,
            OrderSource source,
            Supplier<String> orderIdSuffix,
            TimeSource time,
            EventLog events,
            long periodMs) {
        this.zone = zone;
        this.intents = new IntentStore(store);
        this.orders = orders;
        this.lease = lease;
        this.source = source;
        this.sender = new OrderSender(intents, orders, lease, orderIdSuffix, events);
        this.reconciler = new OrderReconciler(times.takeoverDelayMs());
        this.time = time;
        this.events = events;
        this.periodMs = periodMs;
    }

    @Override
    public long run() {
        if (lease.check().isEmpty()) {
            return periodMs;
        }
        try {
            List<OrderIntent> current = reconcile(intents.list(zone));
            for (PlannedOrder planned : source.plannedOrders(zone, current)) {
                sender.send(zone, planned);
            }
        } catch (PlatformException e) {
            // No order is sent while the key-value store or the platform's order list is unavailable.
            // The next run retries.
            return periodMs;
        }
        return periodMs;
    }

    private List<OrderIntent> reconcile(List<IntentStore.StoredIntent> stored) throws PlatformException {
        Map<String, IntentStore.StoredIntent> storedById = new HashMap<>();
        Map<String, OrderIntent> intentsById = new HashMap<>();
        boolean hasOpenIntents = false;
        for (IntentStore.StoredIntent each : stored) {
            storedById.put(each.intent().orderId(), each);
            intentsById.put(each.intent().orderId(), each.intent());
            hasOpenIntents |= !each.intent().state().isFinal();
        }
        if (hasOpenIntents) {
            long listReadMs = time.monotonicMs();
            Set<String> accepted = orders.acceptedOrderIds(zone);
            for (OrderIntent next : reconciler.reconcile(intentsById.values(), accepted, listReadMs)) {
                if (intents.updateState(storedById.get(next.orderId()), next.state())
                        .isPresent()) {
                    intentsById.put(next.orderId(), next);
                    recordReconciled(next);
                }
            }
        }
        deleteExpired(stored);
        return new ArrayList<>(intentsById.values());
    }

    private void recordReconciled(OrderIntent intent) {
        EventCode code =
                intent.state() == OrderState.CONFIRMED ? EventCode.ORDER_RECONCILED : EventCode.ORDER_ABANDONED;
        events.record(
                code,
                intent.orderId(),
                Map.of("fencing_number", intent.fencingNumber(), "reason", "outcome determined by reconciliation"));
    }

    private void deleteExpired(List<IntentStore.StoredIntent> stored) throws PlatformException {
        Set<String> present = new HashSet<>();
        for (IntentStore.StoredIntent each : stored) {
            if (!each.intent().state().isFinal()) {
                continue;
            }
            String orderId = each.intent().orderId();
            present.add(orderId);
            long seenMs = finalSeenMs.computeIfAbsent(orderId, id -> time.monotonicMs());
            if (time.monotonicMs() - seenMs >= FINAL_INTENT_RETENTION_MS) {
                intents.delete(each);
            }
        }
        finalSeenMs.keySet().retainAll(present);
    }
}
