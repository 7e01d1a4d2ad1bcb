package org.cranberrybend.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.standins.engine.SlotTable.Load;
import org.cranberrybend.standins.server.CallerConnection;
import org.cranberrybend.standins.server.ReceivedRequest;
import org.cranberrybend.standins.server.StandinFault;
import org.cranberrybend.standins.server.StandinFault.Mode;
import org.cranberrybend.standins.server.StandinServer;
import org.cranberrybend.standins.server.UpstreamControls;

/** The stand-in engine: completions, load report, cancellation, orders and fault injection on one port. */
public final class EngineService implements Service {
    private final EngineSettings settings;
    private final UpstreamControls controls;
    private final EngineCounters counters = new EngineCounters();
    private final BatchExecutor executor;
    private final FencedOrders orders;
    private final JsonRouter router = new JsonRouter();
    private final StandinServer server;

    /**
     * Creates the engine.
     *
     * @param time clock of the load report; token generation uses the system clock
     * @param crashAction ends the process, or in tests the server, for the crash fault
     */
    public EngineService(EngineSettings settings, TimeSource time, Runnable crashAction) {
        this.settings = settings;
        this.server = new StandinServer(settings.host(), settings.port(), this::handle);
        this.controls = new UpstreamControls(settings.requestsMax(), crashAction, server::stallOpenConnections);
        this.executor = new BatchExecutor(settings, time, controls, counters);
        this.orders = new FencedOrders(settings.checksFencing());
        controls.addTo(router);
        router.on("GET", "/counters", r -> JsonResponse.json(200, counters.values()))
                .on("GET", "/load", this::load)
                .on("POST", "/cancel/{request_id}", this::cancel)
                .on("POST", "/orders", this::order)
                .on("GET", "/orders", r -> JsonResponse.json(200, orders.received()));
    }

    private JsonResponse load(JsonRequest request) {
        Load load = executor.laggedLoad();
        return JsonResponse.json(
                200,
                Map.of(
                        "running", load.running(),
                        "waiting", load.waiting(),
                        "kv_used_tokens", load.kvUsedTokens(),
                        "age_ms", settings.loadLagMs()));
    }

    private JsonResponse cancel(JsonRequest request) throws HttpStatusException {
        int count = executor.cancel(request.pathParameter("request_id"));
        if (count == 0) {
            throw new HttpStatusException(404, "no such request: " + request.pathParameter("request_id"));
        }
        return JsonResponse.json(200, Map.of("cancelled", count));
    }

    private JsonResponse order(JsonRequest request) throws HttpStatusException {
        JsonNode body = request.json();
        if (!body.path("fencing_number").isIntegralNumber()
                || body.path("action").asText().isEmpty()) {
            throw new HttpStatusException(400, "an order needs fencing_number and action");
        }
        boolean accepted = orders.receive(body);
        return JsonResponse.json(accepted ? 200 : 409, Map.of("highest_fencing_number", orders.highestFencingNumber()));
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, CallerConnection connection)
            throws IOException {
        ReceivedRequest received = ReceivedRequest.read(request);
        boolean control = UpstreamControls.isControl(received.path());
        if (!control && connection.isStalled()) {
            connection.awaitDisconnect();
            throw UpstreamControls.abort(connection, "stalled by an injected fault");
        }
        // Load reports are polled continuously and would evict all other requests from the log.
        if (!control && !received.path().equals("/load")) {
            controls.requests().add(received);
        }
        received.header("X-Request-Id").ifPresent(id -> response.setHeader("X-Request-Id", id));
        boolean completion = received.path().equals("/v1/chat/completions")
                || received.path().equals("/v1/completions");
        if (completion && received.method().equals("POST")) {
            complete(received, response, connection);
        } else {
            request.setEntity(new ByteArrayEntity(received.body(), ContentType.APPLICATION_JSON));
            router.handle(request, response, null);
        }
    }

    private void complete(ReceivedRequest received, ClassicHttpResponse response, CallerConnection connection)
            throws IOException {
        counters.recordRequest();
        StandinFault fault = controls.takeFault();
        if (UpstreamControls.tryReject(fault, response)) {
            counters.recordRejection();
            return;
        }
        if (fault.mode() == Mode.STALL) {
            connection.stall();
        }
        CompletionRequest completion;
        try {
            completion = CompletionRequest.read(received);
            if (!settings.models().isEmpty() && !settings.models().contains(completion.model())) {
                throw new HttpStatusException(404, "the model is not loaded: " + completion.model());
            }
        } catch (HttpStatusException e) {
            response.setHeader("X-Not-Run", "true");
            UpstreamControls.fillError(response, e.status(), e.getMessage());
            return;
        }
        if (fault.mode() == Mode.LOSE_REPLY) {
            executor.run(completion, fault, connection, token -> {});
            throw UpstreamControls.abort(connection, "response dropped by an injected fault");
        }
        if (completion.stream()) {
            response.setEntity(new StreamEntity(completion, fault, connection));
        } else {
            executor.run(completion, fault, connection, token -> {});
            response.setEntity(
                    new StringEntity(CompletionProtocol.responseBody(completion), ContentType.APPLICATION_JSON));
        }
    }

    /** A streamed response whose tokens are generated while it is written. */
    private final class StreamEntity extends AbstractHttpEntity {
        private final CompletionRequest completion;
        private final StandinFault fault;
        private final CallerConnection connection;

        StreamEntity(CompletionRequest completion, StandinFault fault, CallerConnection connection) {
            super(ContentType.TEXT_EVENT_STREAM, null, true);
            this.completion = completion;
            this.fault = fault;
            this.connection = connection;
        }

        @Override
        public void writeTo(OutputStream out) throws IOException {
            executor.run(
                    completion,
                    fault,
                    connection,
                    token -> write(out, CompletionProtocol.tokenEvent(completion, token)));
            write(out, CompletionProtocol.finalEvents(completion));
        }

        private void write(OutputStream out, String event) throws IOException {
            out.write(event.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        @Override
        public InputStream getContent() {
            return new ByteArrayInputStream(new byte[0]);
        }

        @Override
        public boolean isStreaming() {
            return true;
        }

        @Override
        public long getContentLength() {
            return -1;
        }

        @Override
        public void close() {
            // No resources to close.
        }
    }

    /** Returns the most recent requests received, for tests in the same process. */
    public List<ReceivedRequest> received() {
        return controls.requests().kept();
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
        server.stop();
    }
}
