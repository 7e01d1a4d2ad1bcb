package org.cranberrybend.entry.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RunState;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.Json;

/**
 * An error response that the router itself generates.
 *
 * @param code error
 * @param message message for the caller; must not contain API keys or content of the request
 * @param runState whether an upstream has executed the request
 * @param retryAfterMs time after which the caller may send the request again, in milliseconds; 0 if not stated
 */
record ErrorResponse(ErrorCode code, String message, RunState runState, long retryAfterMs) {
    /** Shortest time after which a refused caller may come back if the end of the reason is not known. */
    private static final long MIN_UNKNOWN_END_MS = 400;
    /** Longest time until the end of an excess that is believed: loads and rates change within seconds. */
    private static final long MAX_EXCESS_MS = 3_000;

    ErrorResponse {
        if (runState != RunState.NOT_RUN && RefusalStatus.includes(code.httpStatus())) {
            throw new IllegalArgumentException(code + " promises that the request was not executed");
        }
    }

    static ErrorResponse notRun(ErrorCode code, long retryAfterMs, Object... arguments) {
        return new ErrorResponse(code, code.message(arguments), RunState.NOT_RUN, retryAfterMs);
    }

    static ErrorResponse outcomeUnknown(ErrorCode code, Object... arguments) {
        return new ErrorResponse(code, code.message(arguments), RunState.OUTCOME_UNKNOWN, 0);
    }

    /** Returns a time up to a quarter longer, so that callers do not return at the same moment. */
    static long spread(long retryAfterMs, String requestId) {
        return retryAfterMs + Math.floorMod((long) requestId.hashCode(), 1 + retryAfterMs / 4);
    }

    /**
     * Returns the time after which a refused caller may come back if the end of the reason is not known. It is spread by
     * a hash that also separates identifiers that differ in one digit.
     */
    static long retryAfterUnknownEndMs(String requestId) {
        return retryAfterExcessMs(0, requestId);
    }

    /**
     * Returns the time after which a refused caller may come back if more requests have arrived than can be served: the
     * time until these are served, or up to twice as long. The end of the arrivals is not known, so that it is never
     * shorter than without knowledge.
     */
    static long retryAfterExcessMs(long excessMs, String requestId) {
        long leastMs = Math.max(MIN_UNKNOWN_END_MS, Math.min(MAX_EXCESS_MS, excessMs));
        return leastMs + Math.floorMod(RendezvousHash.hash("retry after", requestId), leastMs + 1);
    }

    void send(ServerExchange exchange, String requestId) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", code.wireCode());
        error.put("message", message);
        error.put("run_state", runState.wireName());
        error.put("request_id", requestId);
        List<Header> headers = new ArrayList<>();
        headers.add(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
        if (retryAfterMs > 0) {
            error.put("retry_after_ms", retryAfterMs);
            headers.add(new BasicHeader(
                    HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterMs / 1_000.0)));
        }
        exchange.respond(code.httpStatus(), code.name(), headers, Json.write(Map.of("error", error)));
    }
}
