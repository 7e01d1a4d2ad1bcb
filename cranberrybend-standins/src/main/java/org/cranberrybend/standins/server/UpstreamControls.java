package org.cranberrybend.standins.server;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;

/** Shared parts of the upstream stand-ins: the active fault, the request log and the control endpoints. */
public final class UpstreamControls {
    // Lets the response to POST /fault reach the caller before the process ends.
    private static final long CRASH_DELAY_MS = 50;

    private final RequestLog requests;
    private final Runnable crashAction;
    private final Runnable stallAction;
    private StandinFault fault = StandinFault.NONE;

    /**
     * Creates the controls.
     *
     * @param requestsMax maximum number of requests kept in the log
     * @param crashAction ends the process, or in tests the server
     * @param stallAction stalls the open connections
     */
    public UpstreamControls(int requestsMax, Runnable crashAction, Runnable stallAction) {
        this.requests = new RequestLog(requestsMax);
        this.crashAction = crashAction;
        this.stallAction = stallAction;
    }

    /** Adds the control endpoints. */
    public void addTo(JsonRouter router) {
        router.on("GET", "/healthz", r -> JsonResponse.text(200, "ok\n"))
                .on("GET", "/readyz", r -> JsonResponse.text(200, "ready\n"))
                .on("GET", "/requests", r -> JsonResponse.json(200, requests.toJson()))
                .on("POST", "/fault", this::setFault);
    }

    /** Returns whether a path is a control endpoint; its requests are not logged and not affected by faults. */
    public static boolean isControl(String path) {
        return switch (path) {
            case "/healthz", "/readyz", "/requests", "/fault", "/counters" -> true;
            default -> false;
        };
    }

    /** Returns the request log. */
    public RequestLog requests() {
        return requests;
    }

    private JsonResponse setFault(JsonRequest request) throws HttpStatusException {
        JsonNode body = request.json();
        StandinFault wanted =
                StandinFault.of(body.path("mode").asText(), body.path("value").asLong(-1));
        synchronized (this) {
            fault = wanted;
        }
        if (wanted.mode() == StandinFault.Mode.STALL) {
            stallAction.run();
        } else if (wanted.mode() == StandinFault.Mode.CRASH) {
            Thread crash = new Thread(this::crash, "crash");
            crash.setDaemon(true);
            crash.start();
        }
        return JsonResponse.json(200, Map.of());
    }

    private void crash() {
        try {
            TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        crashAction.run();
    }

    /** Returns the active fault without counting a request. */
    public synchronized StandinFault fault() {
        return fault;
    }

    /** Returns the fault that applies to a new request, and decrements its request limit if it has one. */
    public synchronized StandinFault takeFault() {
        StandinFault taken = fault;
        if (taken.hasRequestLimit() && taken.value() == 0) {
            fault = StandinFault.NONE;
            return fault;
        }
        if (taken.hasRequestLimit() && taken.value() > 0) {
            fault = new StandinFault(taken.mode(), taken.value() - 1);
        }
        return taken;
    }

    /**
     * Sets a response that rejects the request as not executed; returns false if the fault does not reject requests.
     */
    public static boolean tryReject(StandinFault fault, ClassicHttpResponse response) {
        boolean leaving = fault.mode() == StandinFault.Mode.LEAVING;
        if (!leaving && fault.mode() != StandinFault.Mode.REFUSE) {
            return false;
        }
        response.setHeader("X-Not-Run", "true");
        if (leaving) {
            response.setHeader("X-Leaving", "true");
        }
        fillError(response, 503, leaving ? "the upstream is leaving" : "the upstream refuses requests");
        return true;
    }

    /** Sets an error response. */
    public static void fillError(ClassicHttpResponse response, int status, String message) {
        response.setCode(status);
        Map<String, Object> body = Map.of("error", Map.of("message", message, "code", status));
        response.setEntity(new StringEntity(CanonicalJson.write(body), ContentType.APPLICATION_JSON));
    }

    /** Closes the connection without completing the response, and returns the exception to throw. */
    public static IOException abort(CallerConnection connection, String reason) {
        connection.abort();
        return new IOException(reason);
    }
}
