package org.cranberrybend.runtime.admin;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cranberrybend.core.event.Event;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;

/** Admin port of a process: health, readiness, metrics, events and status. */
public final class AdminServer implements Service {
    private final EventLog eventLog;
    private final MetricRegistry metrics;
    private final BooleanSupplier ready;
    private final Supplier<Map<String, Object>> status;
    private final HttpService http;

    /** Creates the server; {@code ready} and {@code status} are evaluated on each request. */
    public AdminServer(
            String host,
            int port,
            EventLog eventLog,
            MetricRegistry metrics,
            BooleanSupplier ready,
            Supplier<Map<String, Object>> status) {
        this.eventLog = eventLog;
        this.metrics = metrics;
        this.ready = ready;
        this.status = status;
        JsonRouter router = new JsonRouter()
                .on("GET", "/healthz", request -> JsonResponse.text(200, "ok\n"))
                .on("GET", "/readyz", this::readiness)
                .on("GET", "/metrics", request -> JsonResponse.text(200, MetricsText.write(this.metrics)))
                .on("GET", "/admin/events", this::events)
                .on("GET", "/admin/status", request -> JsonResponse.json(200, this.status.get()));
        this.http = new HttpService(host, port, router);
    }

    private JsonResponse readiness(JsonRequest request) {
        return ready.getAsBoolean() ? JsonResponse.text(200, "ready\n") : JsonResponse.text(503, "not ready\n");
    }

    private JsonResponse events(JsonRequest request) throws HttpStatusException {
        List<Map<String, Object>> events = eventLog.eventsAfter(request.queryNumber("after", 0)).stream()
                .map(Event::toJsonFields)
                .toList();
        return JsonResponse.json(200, events);
    }

    /** Returns the port in use after {@link #start()}. */
    public int port() {
        return http.port();
    }

    @Override
    public void start() throws ServiceException {
        http.start();
    }

    @Override
    public void stop() {
        http.stop();
    }
}
