package org.cranberrybend.router.accept;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.error.RequestFailedException;

/** JSON representation of errors sent to callers. */
public final class ErrorBody {
    private ErrorBody() {}

    /** Returns the body of an error response. */
    public static byte[] toJson(RequestFailedException failure, String requestId) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", failure.code().wireCode());
        error.put("message", failure.getMessage());
        error.put("run_state", failure.runState().wireName());
        error.put("request_id", requestId);
        if (failure.retryAfterMs() != RequestFailedException.NO_RETRY_AFTER_MS) {
            error.put("retry_after_ms", failure.retryAfterMs());
        }
        return CanonicalJson.write(Map.of("error", error)).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the server-sent event that ends a stream with an error instead of {@code [DONE]}. */
    public static byte[] toEvent(RequestFailedException failure, String requestId) {
        String json = new String(toJson(failure, requestId), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the {@code Retry-After} header, in seconds rounded up, if a retry time is known. */
    static List<Header> retryAfterHeaders(RequestFailedException failure) {
        if (failure.retryAfterMs() == RequestFailedException.NO_RETRY_AFTER_MS) {
            return List.of();
        }
        long seconds = TimeUnit.MILLISECONDS.toSeconds(failure.retryAfterMs() + 999);
        return List.of(new BasicHeader("Retry-After", seconds));
    }
}
