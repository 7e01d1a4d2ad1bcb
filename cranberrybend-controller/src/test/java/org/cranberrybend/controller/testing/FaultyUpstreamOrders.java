package org.cranberrybend.controller.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cranberrybend.runtime.platform.AcceptedOrder;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UpstreamOrder;
import org.cranberrybend.runtime.platform.UpstreamOrders;

/** In-memory receiver of upstream orders with fault injection. */
public final class FaultyUpstreamOrders implements UpstreamOrders {
    private final CallFaults faults = new CallFaults();
    private final List<UpstreamOrder> received = new ArrayList<>();
    private final List<AcceptedOrder> accepted = new ArrayList<>();
    private final Function<UpstreamOrder, AcceptedOrder> platform;

    /** Creates a receiver that passes each received order to the listener. */
    public FaultyUpstreamOrders(Consumer<UpstreamOrder> listener) {
        this(order -> {
            listener.accept(order);
            return new AcceptedOrder(order.orderId(), order.action(), "accepted", order.upstreamId());
        });
    }

    /** Creates a receiver that uses the given platform to execute each received order. */
    public FaultyUpstreamOrders(Function<UpstreamOrder, AcceptedOrder> platform) {
        this.platform = platform;
    }

    /** Returns the fault injection of this fake. */
    public CallFaults faults() {
        return faults;
    }

    /** Returns all orders in the order of their arrival, including duplicates. */
    public List<UpstreamOrder> received() {
        return List.copyOf(received);
    }

    @Override
    public void send(String zone, UpstreamOrder order) throws PlatformException {
        CallFaults.Call call = faults.before("order");
        received.add(order);
        accepted.add(platform.apply(order));
        call.respond();
    }

    @Override
    public List<AcceptedOrder> orders(String zone) throws PlatformException {
        faults.before("orders").respond();
        return List.copyOf(accepted);
    }
}
