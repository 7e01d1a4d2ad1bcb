package org.cranberrybend.runtime.platform;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP client for the platform's API to order upstreams. */
public final class UpstreamOrderClient implements UpstreamOrders, AutoCloseable {
    private final PlatformHttpClient client;

    /**
     * Creates a client for the platform at the given address.
     *
     * @param orderTimeoutMs maximum wait for the response to an order, in milliseconds
     */
    public UpstreamOrderClient(URI platformUri, long orderTimeoutMs) {
        this.client = new PlatformHttpClient(platformUri, orderTimeoutMs);
    }

    @Override
    public void send(String zone, UpstreamOrder order) throws PlatformException {
        HttpResult result = client.callJson("POST", path(zone), order.toJsonFields());
        if (!result.isSuccess()) {
            throw new PlatformException("order " + order.orderId(), result.status());
        }
    }

    @Override
    public List<AcceptedOrder> orders(String zone) throws PlatformException {
        HttpResult result = client.call("GET", path(zone), null);
        if (result.status() != 200) {
            throw new PlatformException("GET " + path(zone), result.status());
        }
        List<AcceptedOrder> orders = new ArrayList<>();
        PlatformHttpClient.json("GET " + path(zone), result)
                .forEach(each -> orders.add(new AcceptedOrder(
                        each.path("order_id").asText(),
                        each.path("action").asText(),
                        each.path("state").asText(),
                        each.path("upstream_id").asText(""))));
        return List.copyOf(orders);
    }

    private static String path(String zone) {
        return "/v1/zones/" + zone + "/orders";
    }

    @Override
    public void close() {
        client.close();
    }
}
