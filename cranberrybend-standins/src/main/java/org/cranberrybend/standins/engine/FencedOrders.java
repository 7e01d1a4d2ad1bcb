package org.cranberrybend.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Orders received by this engine. If configured, orders with a stale fencing number are rejected. */
final class FencedOrders {
    private final boolean checksFencing;
    private final List<Received> received = new ArrayList<>();
    private long highestFencingNumber;

    /**
     * An order as received.
     *
     * @param order JSON body of the order
     * @param accepted whether the order was accepted
     */
    record Received(JsonNode order, boolean accepted) {}

    FencedOrders(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /** Records an order and returns whether it is accepted. */
    synchronized boolean receive(JsonNode order) {
        long fencingNumber = order.path("fencing_number").asLong();
        boolean accepted = !checksFencing || fencingNumber >= highestFencingNumber;
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        received.add(new Received(order, accepted));
        return accepted;
    }

    synchronized long highestFencingNumber() {
        return highestFencingNumber;
    }

    synchronized List<Received> received() {
        return List.copyOf(received);
    }
}
