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
 * Sends one order at most once: intent, check of the lease, change to sent, last check, write.
 *
 * <p>What remains open is a pause between the last check and the moment the bytes leave this instance. The successor's
 * wait covers it up to its own length; only a platform that checks fencing numbers on orders closes it.
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
     * Sends a wanted order if the lease allows it.
     *
     * @throws PlatformException if the key-value service failed; the intent is settled by a later reconciliation
     */
    void send(String zone, WantedOrder wanted) throws PlatformException {
        Optional<LeaseCheck> first = lease.check();
        if (first.isEmpty() || !(wanted.checksFencing() || lease.isSuccessorWaitOver())) {
            return;
        }
        long fencingNumber = first.get().fencingNumber().value();
        OrderIntent intent = new OrderIntent(
                fencingNumber + "-" + orderIdSuffix.get(),
                zone,
                fencingNumber,
                wanted.action(),
                wanted.market(),
                wanted.model(),
                wanted.upstreamId(),
                OrderState.INTENDED);
        Optional<IntentStore.Stored> recorded = intents.create(intent);
        if (recorded.isEmpty()) {
            return;
        }
        record(EventCode.ORDER_INTENT_RECORDED, intent, "");
        Optional<LeaseCheck> check = lease.check();
        if (check.isEmpty() || check.get().fencingNumber().value() != fencingNumber) {
            abandon(recorded.get(), "the lease is no longer valid");
            return;
        }
        Optional<IntentStore.Stored> sent = intents.change(recorded.get(), OrderState.SENT);
        if (sent.isEmpty()) {
            record(EventCode.ORDER_ABANDONED, intent, "a successor settled the intent");
            return;
        }
        if (!lease.covers(check.get())) {
            abandon(sent.get(), "this process was paused or the lease ended");
            return;
        }
        write(sent.get());
    }

    private void write(IntentStore.Stored sent) throws PlatformException {
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
        if (intents.change(sent, OrderState.CONFIRMED).isPresent()) {
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

    private void abandon(IntentStore.Stored stored, String reason) throws PlatformException {
        record(EventCode.ORDER_ABANDONED, stored.intent(), reason);
        intents.change(stored, OrderState.ABANDONED);
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
