package org.cranberrybend.controller.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrder;
import org.cranberrybend.runtime.platform.UpstreamOrders;

/** Accepts upstream orders in memory, with faults. */
public final class FaultyUpstreamOrders implements UpstreamOrders {
    private final CallFaults faults = new CallFaults();
    private final List<UpstreamOrder> received = new ArrayList<>();
    private final Consumer<UpstreamOrder> listener;

    /** Creates the interface; the listener is told of each order when it arrives. */
    public FaultyUpstreamOrders(Consumer<UpstreamOrder> listener) {
        this.listener = listener;
    }

    /** Returns the faults of the calls. */
    public CallFaults faults() {
        return faults;
    }

    /** Returns all orders in the order of their arrival, repeated ones included. */
    public List<UpstreamOrder> received() {
        return List.copyOf(received);
    }

    @Override
    public void send(String zone, UpstreamOrder order) throws PlatformException {
        CallFaults.Call call = faults.before("order");
        received.add(order);
        listener.accept(order);
        call.respond();
    }

    @Override
    public Set<String> acceptedOrders(String zone) throws PlatformException {
        faults.before("orders").respond();
        return received.stream().map(UpstreamOrder::orderId).collect(Collectors.toSet());
    }
}
