package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Objects;
import org.cranberrybend.runtime.http.HttpResult;

/** Comparisons of what a session received with what it should receive. */
final class Expect {
    private Expect() {}

    static void that(boolean holds, String otherwise) throws CheckFailedException {
        if (!holds) {
            throw new CheckFailedException(otherwise);
        }
    }

    static void equal(String what, Object expected, Object actual) throws CheckFailedException {
        that(Objects.equals(expected, actual), what + " is " + actual + " instead of " + expected);
    }

    /** Expects a success and returns it. */
    static HttpResult success(HttpResult result) throws CheckFailedException {
        that(result.isSuccess(), "status " + result.status() + ": " + result.text());
        return result;
    }

    /** Expects an error with its status, code and run state, which names the request of its header. */
    static void error(HttpResult result, int status, String code, String runState)
            throws CheckFailedException, IOException {
        equal("status", status, result.status());
        JsonNode error = result.json().path("error");
        equal("code", code, error.path("code").asText());
        equal("run_state", runState, error.path("run_state").asText());
        that(!error.path("message").asText().isEmpty(), "the error has no message");
        equal(
                "request_id",
                result.header("x-request-id").orElse("absent"),
                error.path("request_id").asText());
    }
}
