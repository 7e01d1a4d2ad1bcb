package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Objects;
import org.cranberrybend.runtime.http.HttpResult;

/** Assertions on responses; each throws {@link CheckFailedException}. */
final class Expect {
    private Expect() {}

    static void that(boolean holds, String failureReason) throws CheckFailedException {
        if (!holds) {
            throw new CheckFailedException(failureReason);
        }
    }

    static void equal(String what, Object expected, Object actual) throws CheckFailedException {
        that(Objects.equals(expected, actual), what + " is " + actual + ", expected " + expected);
    }

    /** Expects a 2xx status and returns the response. */
    static HttpResult success(HttpResult result) throws CheckFailedException {
        that(result.isSuccess(), "status " + result.status() + ": " + result.text());
        return result;
    }

    /**
     * Expects an error response with the given status, code and run state, a message, and the request id of the
     * X-Request-Id header in its body.
     */
    static void error(HttpResult result, int status, String code, String runState)
            throws CheckFailedException, IOException {
        equal("status", status, result.status());
        JsonNode error = result.json().path("error");
        equal("code", code, error.path("code").asText());
        equal("run_state", runState, error.path("run_state").asText());
        that(!error.path("message").asText().isEmpty(), "error response has no message");
        equal(
                "request_id",
                result.header("x-request-id").orElse("absent"),
                error.path("request_id").asText());
    }
}
