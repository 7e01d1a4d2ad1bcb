package org.cranberrybend.controller.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.schedule.RepeatedTask;
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
 * One round of the holder of a zone's lease: settles the orders without a response, also those of a predecessor, and
 * sends the wanted ones.
 *
 * <p>Used by one thread, so that no intent is in work while intents are settled.
 */
public final class OrderRound implements RepeatedTask.Step {
    // Settled intents are kept for operators who look into an order.
    private static final long SETTLED_RETENTION_MS = 3_600_000;

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
    private final Map<String, Long> settledSeenMs = new HashMap<>();

    /**
     * Creates the rounds of a zone.
     *
     * @param times times of the zone's lease; the write timeout is that of an order
     * @param orderIdSuffix returns a text that is different each time, also after a restart
     * @param periodMs time between two rounds in milliseconds
     */
    public OrderRound(
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
            List<OrderIntent> known = settle(intents.list(zone));
            for (WantedOrder wanted : source.wantedOrders(zone, known)) {
                sender.send(zone, wanted);
            }
        } catch (PlatformException e) {
            // Without the key-value service or the platform's list there is no order; the next round tries again.
            return periodMs;
        }
        return periodMs;
    }

    private List<OrderIntent> settle(List<IntentStore.Stored> stored) throws PlatformException {
        Map<String, IntentStore.Stored> byId = new HashMap<>();
        Map<String, OrderIntent> known = new HashMap<>();
        boolean open = false;
        for (IntentStore.Stored each : stored) {
            byId.put(each.intent().orderId(), each);
            known.put(each.intent().orderId(), each.intent());
            open |= !each.intent().state().isFinal();
        }
        if (open) {
            long listReadMs = time.monotonicMs();
            Set<String> accepted = orders.acceptedOrderIds(zone);
            for (OrderIntent next : reconciler.reconcile(known.values(), accepted, listReadMs)) {
                if (intents.change(byId.get(next.orderId()), next.state()).isPresent()) {
                    known.put(next.orderId(), next);
                    record(next);
                }
            }
        }
        deleteOld(stored);
        return new ArrayList<>(known.values());
    }

    private void record(OrderIntent settled) {
        EventCode code =
                settled.state() == OrderState.CONFIRMED ? EventCode.ORDER_RECONCILED : EventCode.ORDER_ABANDONED;
        events.record(
                code,
                settled.orderId(),
                Map.of("fencing_number", settled.fencingNumber(), "reason", "settled by reading back"));
    }

    private void deleteOld(List<IntentStore.Stored> stored) throws PlatformException {
        Set<String> present = new HashSet<>();
        for (IntentStore.Stored each : stored) {
            if (!each.intent().state().isFinal()) {
                continue;
            }
            String orderId = each.intent().orderId();
            present.add(orderId);
            long seenMs = settledSeenMs.computeIfAbsent(orderId, id -> time.monotonicMs());
            if (time.monotonicMs() - seenMs >= SETTLED_RETENTION_MS) {
                intents.delete(each);
            }
        }
        settledSeenMs.keySet().retainAll(present);
    }
}
