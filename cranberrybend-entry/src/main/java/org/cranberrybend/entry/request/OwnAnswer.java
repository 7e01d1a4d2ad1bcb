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
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.Json;

/**
 * An answer that this program gives itself.
 *
 * @param code error
 * @param message message for the caller; never a key and never the caller's text
 * @param runState whether the request has run
 * @param retryAfterMs time after which the caller may come back, in milliseconds; 0 if not stated
 */
record OwnAnswer(ErrorCode code, String message, RunState runState, long retryAfterMs) {
    static OwnAnswer notRun(ErrorCode code, long retryAfterMs, Object... arguments) {
        return new OwnAnswer(code, code.message(arguments), RunState.NOT_RUN, retryAfterMs);
    }

    static OwnAnswer outcomeUnknown(ErrorCode code, Object... arguments) {
        return new OwnAnswer(code, code.message(arguments), RunState.OUTCOME_UNKNOWN, 0);
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
