package org.cranberrybend.standins.platform;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.standins.platform.PlatformFaults.Fault;
import org.cranberrybend.standins.platform.PlatformFaults.Mode;
import org.cranberrybend.standins.platform.PlatformFaults.Target;
import org.cranberrybend.standins.server.CallerConnection;
import org.cranberrybend.standins.server.StandinServer;

/** The stand-in platform: all of its HTTP interfaces and the fault injection endpoints on one port. */
public final class PlatformService implements Service {
    private final KeyValueEndpoints keyValue;
    private final InstanceList instances;
    private final OrderProcessor orders;
    private final UsageReportLog reports = new UsageReportLog();
    private final PlatformFaults faults = new PlatformFaults();
    private final MetricRegistry counters = new MetricRegistry();
    private final JsonRouter router = new JsonRouter();
    private final StandinServer server;

    /** Creates the platform with a clock for leases, rate limits and the lag of the instance list. */
    public PlatformService(PlatformSettings settings, TimeSource time) {
        this.keyValue = new KeyValueEndpoints(settings, time, counters);
        this.instances = new InstanceList(time, settings.instancesLagMs(), settings.instances());
        this.orders =
                new OrderProcessor(time, instances, settings.spares(), settings.startDelayMs(), settings.stopGraceMs());
        keyValue.addTo(router);
        new LeaseEndpoints(new LeaseTable(time), keyValue).addTo(router);
        addPlatformEndpoints();
        addControlEndpoints();
        this.server = new StandinServer(settings.host(), settings.port(), this::handle);
    }

    private void addPlatformEndpoints() {
        router.on("GET", "/v1/instances", counted("instances_list", r -> JsonResponse.json(200, instances.visible())))
                .on("POST", "/v1/zones/{zone}/orders", counted("order_post", this::receiveOrder))
                .on(
                        "GET",
                        "/v1/zones/{zone}/orders",
                        counted("order_list", r -> JsonResponse.json(200, orders.received(r.pathParameter("zone")))))
                .on("PUT", "/v1/usage-reports/{window*}", counted("report_put", this::receiveReport))
                .on(
                        "GET",
                        "/v1/usage-reports",
                        counted("report_list", r -> JsonResponse.json(200, reports.received())));
    }

    private void addControlEndpoints() {
        router.on("GET", "/healthz", r -> JsonResponse.text(200, "ok\n"))
                .on("GET", "/readyz", r -> JsonResponse.text(200, "ready\n"))
                .on("GET", "/counters", r -> JsonResponse.json(200, counterValues()))
                .on("POST", "/fault/snapshot", this::takeSnapshot)
                .on("POST", "/fault", this::setFault)
                .on("POST", "/instances/{id}", this::setInstance)
                .on("DELETE", "/instances/{id}", this::removeInstance);
    }

    private JsonRouter.Endpoint counted(String kind, JsonRouter.Endpoint endpoint) {
        return request -> {
            counters.counter(kind).inc();
            return endpoint.handle(request);
        };
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, CallerConnection connection)
            throws IOException {
        Optional<Target> target = Target.ofPath(request.getPath().split("\\?", 2)[0]);
        if (target.isEmpty()) {
            router.handle(request, response, null);
            return;
        }
        Fault fault = faults.takeFault(target.get());
        if (fault.mode() == Mode.DOWN) {
            abort(connection);
        } else if (fault.mode() == Mode.SLOW) {
            delay(fault.delayMs());
        }
        router.handle(request, response, null);
        if (fault.mode() == Mode.LOSE_REPLY || faults.isDown(target.get())) {
            abort(connection);
        }
    }

    private static void abort(CallerConnection connection) throws IOException {
        connection.abort();
        throw new IOException("connection closed without a response by an injected fault");
    }

    private static void delay(long delayMs) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted by the shutdown of the server", e);
        }
    }

    private JsonResponse receiveOrder(JsonRequest request) throws HttpStatusException {
        UpstreamOrder order = read(request.json(), UpstreamOrder.class);
        boolean start = "start".equals(order.action());
        boolean stop = "stop".equals(order.action()) && order.upstreamId() != null;
        if (order.orderId() == null || order.fencingNumber() == null || (!start && !stop)) {
            throw new HttpStatusException(
                    400, "an order needs order_id, fencing_number and action start, or stop with upstream_id");
        }
        UpstreamOrder accepted = orders.receive(request.pathParameter("zone"), order);
        return JsonResponse.json(202, accepted);
    }

    private JsonResponse receiveReport(JsonRequest request) throws HttpStatusException {
        reports.add(request.pathParameter("window"), request.json(), request.body());
        return JsonResponse.json(200, Map.of("window", request.pathParameter("window")));
    }

    private Map<String, Object> counterValues() {
        Map<String, Object> values = new TreeMap<>();
        counters.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        return values;
    }

    private JsonResponse takeSnapshot(JsonRequest request) {
        keyValue.store().takeSnapshot();
        return JsonResponse.json(200, Map.of());
    }

    private JsonResponse setFault(JsonRequest request) throws HttpStatusException {
        JsonNode body = request.json();
        Target target;
        Mode mode;
        try {
            target = Target.valueOf(body.path("target").asText().toUpperCase(Locale.ROOT));
            mode = Mode.of(body.path("mode").asText());
        } catch (IllegalArgumentException e) {
            throw new HttpStatusException(
                    400, "target must be kv, orders, reports or instances; mode ok, down, slow, lose_reply or older");
        }
        if (mode == Mode.OLDER && target != Target.KV) {
            throw new HttpStatusException(400, "mode older is for target kv only");
        }
        if (mode == Mode.OLDER) {
            keyValue.store().restore();
        } else {
            long count = body.path("count").asLong(-1);
            faults.set(target, new Fault(mode, body.path("delay_ms").asLong(0), count));
            if (target == Target.KV && mode == Mode.DOWN) {
                keyValue.store().interruptWatches();
            }
        }
        return JsonResponse.json(200, Map.of());
    }

    private JsonResponse setInstance(JsonRequest request) throws HttpStatusException {
        String id = request.pathParameter("id");
        ObjectNode fields = CanonicalJson.mapper().createObjectNode();
        instances
                .latest(id)
                .ifPresent(each ->
                        fields.setAll((ObjectNode) CanonicalJson.mapper().valueToTree(each)));
        JsonNode body = request.json();
        if (!body.isObject()) {
            throw new HttpStatusException(400, "body must be a JSON object with the fields to set");
        }
        fields.setAll((ObjectNode) body);
        fields.put("id", id);
        instances.set(read(fields, InstanceEntry.class), 0);
        return JsonResponse.json(200, fields);
    }

    private JsonResponse removeInstance(JsonRequest request) throws HttpStatusException {
        if (!instances.remove(request.pathParameter("id"), 0)) {
            throw new HttpStatusException(404, "no such instance: " + request.pathParameter("id"));
        }
        return JsonResponse.json(200, Map.of());
    }

    private static <T> T read(JsonNode node, Class<T> type) throws HttpStatusException {
        try {
            return CanonicalJson.mapper().convertValue(node, type);
        } catch (IllegalArgumentException e) {
            throw new HttpStatusException(400, e.getMessage());
        }
    }

    /** Returns the port in use after {@link #start()}. */
    public int port() {
        return server.port();
    }

    @Override
    public void start() throws ServiceException {
        server.start();
    }

    @Override
    public void stop() {
        keyValue.store().interruptWatches();
        server.stop();
    }
}
