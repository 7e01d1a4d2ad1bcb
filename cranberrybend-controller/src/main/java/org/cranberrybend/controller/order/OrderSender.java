package org.cranberrybend.controller.order;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.LeaseCheck;
import org.cranberrybend.core.lease.OrderIntent;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrder;
import org.cranberrybend.runtime.platform.UpstreamOrders;

/**
 * Sends each order at most once: records an intent, checks the lease, changes the intent to {@link OrderState#SENT},
 * verifies that the lease check still covers the write, and sends the order.
 *
 * <p>Known limitation: the process can be paused between the last check and the moment the request leaves this
 * instance. The takeover delay of the next lease holder covers a pause up to its own length. Only a platform that
 * checks the fencing numbers of orders excludes longer ones.
 */
final class OrderSender {
    private final IntentStore intents;
    private final UpstreamOrders orders;
    private final LeaseHolder lease;
    private final Supplier<String> orderIdSuffix;
    private final EventLog events;

    OrderSender(
            IntentStore intents,
            UpstreamOrders orders,
            LeaseHolder lease,
            Supplier<String> orderIdSuffix,
            EventLog events) {
        this.intents = intents;
        this.orders = orders;
        this.lease = lease;
        this.orderIdSuffix = orderIdSuffix;
        this.events = events;
    }

    /**
     * Sends a planned order if the lease allows it.
     *
     * @throws PlatformException if the key-value store failed; a later run reconciles the intent
     */
    void send(String zone, PlannedOrder planned) throws PlatformException {
        Optional<LeaseCheck> first = lease.check();
        if (first.isEmpty() || !(planned.checksFencing() || lease.isTakeoverDelayOver())) {
            return;
        }
        long fencingNumber = first.get().fencingNumber().value();
        OrderIntent intent = new OrderIntent(
                fencingNumber + "-" + orderIdSuffix.get(),
                zone,
                fencingNumber,
                planned.action(),
                planned.market(),
                planned.model(),
                planned.upstreamId(),
                OrderState.INTENDED);
        Optional<IntentStore.StoredIntent> recorded = intents.create(intent);
        if (recorded.isEmpty()) {
            return;
        }
        record(EventCode.ORDER_INTENT_RECORDED, intent, "");
        Optional<LeaseCheck> check = lease.check();
        if (check.isEmpty() || check.get().fencingNumber().value() != fencingNumber) {
            abandon(recorded.get(), "the lease is no longer valid");
            return;
        }
        Optional<IntentStore.StoredIntent> sent = intents.updateState(recorded.get(), OrderState.SENT);
        if (sent.isEmpty()) {
            record(EventCode.ORDER_ABANDONED, intent, "the next lease holder has already reconciled the intent");
            return;
        }
        if (!lease.covers(check.get())) {
            abandon(sent.get(), "this process was paused after the lease check, or the lease ended");
            return;
        }
        submit(sent.get());
    }

    private void submit(IntentStore.StoredIntent sent) throws PlatformException {
        OrderIntent intent = sent.intent();
        try {
            orders.send(intent.zone(), toOrder(intent));
        } catch (PlatformException e) {
            if (e.outcome() == CallOutcome.NOT_ACCEPTED) {
                abandon(sent, e.getMessage());
            } else {
                record(EventCode.ORDER_SENT, intent, "no response: " + e.getMessage());
            }
            return;
        }
        record(EventCode.ORDER_SENT, intent, "");
        if (intents.updateState(sent, OrderState.CONFIRMED).isPresent()) {
            record(EventCode.ORDER_CONFIRMED, intent, "");
        }
    }

    private static UpstreamOrder toOrder(OrderIntent intent) {
        return new UpstreamOrder(
                intent.orderId(),
                intent.fencingNumber(),
                intent.action().wireName(),
                intent.market().name().toLowerCase(Locale.ROOT),
                intent.model(),
                intent.upstreamId());
    }

    private void abandon(IntentStore.StoredIntent stored, String reason) throws PlatformException {
        record(EventCode.ORDER_ABANDONED, stored.intent(), reason);
        intents.updateState(stored, OrderState.ABANDONED);
    }

    private void record(EventCode code, OrderIntent intent, String reason) {
        events.record(
                code,
                intent.orderId(),
                Map.of(
                        "action", intent.action().wireName(),
                        "model", intent.model(),
                        "upstream", intent.upstreamId(),
                        "fencing_number", intent.fencingNumber(),
                        "reason", reason));
    }
}
