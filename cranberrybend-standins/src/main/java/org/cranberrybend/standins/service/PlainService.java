package org.cranberrybend.standins.service;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.standins.server.CallerConnection;
import org.cranberrybend.standins.server.ReceivedRequest;
import org.cranberrybend.standins.server.StandinFault;
import org.cranberrybend.standins.server.StandinFault.Mode;
import org.cranberrybend.standins.server.StandinServer;
import org.cranberrybend.standins.server.UpstreamControls;

/**
 * The stand-in service: executes every request on every path except the control endpoints. An execution that has
 * started is counted and completes even if the caller disconnects.
 */
public final class PlainService implements Service {
    private final ServiceSettings settings;
    private final UpstreamControls controls;
    private final ExecutionCounter executions = new ExecutionCounter();
    private final JsonRouter router = new JsonRouter();
    private final StandinServer server;

    /** Creates the service; {@code crashAction} ends the process, or in tests the server, for the crash fault. */
    public PlainService(ServiceSettings settings, Runnable crashAction) {
        this.settings = settings;
        this.server = new StandinServer(settings.host(), settings.port(), this::handle);
        this.controls = new UpstreamControls(settings.requestsMax(), crashAction, server::stallOpenConnections);
        controls.addTo(router);
        router.on("GET", "/counters", r -> JsonResponse.json(200, executions.values()));
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, CallerConnection connection)
            throws IOException {
        ReceivedRequest received = ReceivedRequest.read(request);
        if (UpstreamControls.isControl(received.path())) {
            request.setEntity(new ByteArrayEntity(received.body(), ContentType.APPLICATION_JSON));
            router.handle(request, response, null);
            return;
        }
        if (connection.isStalled()) {
            awaitDisconnect(connection);
        }
        controls.requests().add(received);
        StandinFault fault = controls.takeFault();
        received.header("X-Request-Id").ifPresent(id -> response.setHeader("X-Request-Id", id));
        if (UpstreamControls.tryReject(fault, response)) {
            executions.recordRejection();
            return;
        }
        if (fault.mode() == Mode.STALL) {
            connection.stall();
            awaitDisconnect(connection);
        }
        execute(received, fault, response, connection);
    }

    private static void awaitDisconnect(CallerConnection connection) throws IOException {
        connection.awaitDisconnect();
        throw UpstreamControls.abort(connection, "stalled by an injected fault");
    }

    private void execute(
            ReceivedRequest received, StandinFault fault, ClassicHttpResponse response, CallerConnection connection)
            throws IOException {
        String requestId = received.header("X-Request-Id").orElse("");
        String digestHex = received.bodyDigestHex();
        long execution = executions.recordExecution(requestId, digestHex);
        delay(settings.runMs() + (fault.mode() == Mode.SLOW ? Math.max(0, fault.value()) : 0));
        if (connection.isStalled()) {
            awaitDisconnect(connection);
        }
        if (fault.mode() == Mode.LOSE_REPLY) {
            throw UpstreamControls.abort(connection, "response dropped by an injected fault");
        }
        String body = CanonicalJson.write(Map.of(
                "service",
                settings.service(),
                "instance",
                settings.id(),
                "method",
                received.method(),
                "target",
                received.target(),
                "request_id",
                requestId,
                "run",
                execution,
                "body_digest",
                digestHex));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (fault.mode() == Mode.CUT_AFTER_TOKENS) {
            response.setEntity(new TruncatedEntity(bytes, fault.value(), connection));
        } else {
            response.setEntity(new ByteArrayEntity(bytes, ContentType.APPLICATION_JSON));
        }
    }

    private static void delay(long delayMs) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted by the shutdown of the server", e);
        }
    }

    /** A response body that ends before its announced length. */
    private static final class TruncatedEntity extends AbstractHttpEntity {
        private final byte[] body;
        private final int cutAfterBytes;
        private final CallerConnection connection;

        TruncatedEntity(byte[] body, long cutAfterBytes, CallerConnection connection) {
            super(ContentType.APPLICATION_JSON, null);
            this.body = body;
            this.cutAfterBytes = (int) Math.max(0, Math.min(cutAfterBytes, body.length - 1));
            this.connection = connection;
        }

        @Override
        public void writeTo(OutputStream out) throws IOException {
            out.write(body, 0, cutAfterBytes);
            out.flush();
            throw UpstreamControls.abort(connection, "response truncated by an injected fault");
        }

        @Override
        public InputStream getContent() {
            return new ByteArrayInputStream(body);
        }

        @Override
        public boolean isStreaming() {
            return false;
        }

        @Override
        public long getContentLength() {
            return body.length;
        }

        @Override
        public void close() {
            // No resources to close.
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
        server.stop();
    }
}
