package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;

/** Checks of requests that every router must refuse before any upstream executes them, and of Expect: 100-continue. */
final class RefusalChecks {
    private static final String CHAT = "/v1/chat/completions";
    private static final int OVERSIZE_BODY_BYTES = 5 << 20;

    private final FleetSession session;

    RefusalChecks(FleetSession session) {
        this.session = session;
    }

    /** A request and the error response that it must receive. */
    private record Refusal(
            String method, String target, Map<String, String> headers, String body, int status, String code) {}

    void run(CheckRun run) throws InterruptedException {
        for (Map.Entry<String, Refusal> each : refusals().entrySet()) {
            Refusal refusal = each.getValue();
            run.check("refused-" + each.getKey(), () -> {
                for (FleetMember router : session.routers()) {
                    HttpResult result = FleetSession.call(
                            router, refusal.method(), refusal.target(), refusal.headers(), refusal.body());
                    Expect.error(result, refusal.status(), refusal.code(), "not_run");
                }
            });
        }
        run.check("refused-oversize-body", this::oversizeBody);
        run.check("refused-conflicting-lengths", () -> {
            conflictingLengths("Content-Length: 2\r\nContent-Length: 3\r\n");
            conflictingLengths("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n");
        });
        run.check("expect-continue", this::expectContinue);
        run.check("expect-continue-refused", this::expectContinueRefused);
    }

    private Map<String, Refusal> refusals() {
        String large = session.key(FleetSession.LARGE_ACCOUNT);
        String small = session.key(FleetSession.SMALL_ACCOUNT);
        String body = new Completion(true, FleetSession.MODEL, "x", 4).body(false);
        Map<String, String> withKey = FleetSession.headers(large);
        Map<String, Refusal> all = new LinkedHashMap<>();
        all.put("no-key", new Refusal("POST", CHAT, Map.of(), body, 401, "key_missing"));
        all.put(
                "unknown-key",
                new Refusal("POST", CHAT, FleetSession.headers("cbk_unknown_unknown"), body, 401, "key_unknown"));
        all.put(
                "class",
                new Refusal(
                        "POST",
                        CHAT,
                        FleetSession.headers(small, "X-Request-Class", "counter"),
                        body,
                        403,
                        "class_not_allowed"));
        all.put(
                "route",
                new Refusal(
                        "POST",
                        "/print-orders",
                        FleetSession.headers(small, "Idempotency-Key", session.unique("refused")),
                        "{}",
                        403,
                        "route_not_allowed"));
        String otherModel = new Completion(true, "fitting-planner", "x", 4).body(false);
        all.put(
                "model-of-other-template",
                new Refusal("POST", CHAT, FleetSession.headers(small), otherModel, 404, "model_unknown"));
        String noModel = new Completion(true, "no-such-model", "x", 4).body(false);
        all.put("unknown-model", new Refusal("POST", CHAT, withKey, noModel, 404, "model_unknown"));
        all.put("malformed-json", new Refusal("POST", CHAT, withKey, "{\"model\":", 400, "invalid_json"));
        all.put("unknown-route", new Refusal("GET", "/no-such-route", withKey, null, 404, "route_unknown"));
        all.put("method-of-model", new Refusal("GET", CHAT, withKey, null, 405, "method_not_allowed"));
        all.put("method-of-route", new Refusal("DELETE", "/stock/1", withKey, null, 405, "method_not_allowed"));
        return all;
    }

    private String head(String key, String moreHeaders) {
        return "POST " + CHAT + " HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer " + key
                + "\r\nContent-Type: application/json\r\n" + moreHeaders + "\r\n";
    }

    private void oversizeBody() throws IOException, CheckFailedException {
        for (FleetMember router : session.routers()) {
            try (HttpExchange exchange = HttpExchange.open(router.address("caller"))) {
                exchange.write(head(
                        session.key(FleetSession.LARGE_ACCOUNT), "Content-Length: " + OVERSIZE_BODY_BYTES + "\r\n"));
                Expect.error(exchange.result(), 413, "body_too_large", "not_run");
            }
        }
    }

    private void conflictingLengths(String lengths) throws IOException, CheckFailedException {
        for (FleetMember router : session.routers()) {
            try (HttpExchange exchange = HttpExchange.open(router.address("caller"))) {
                exchange.write(head(session.key(FleetSession.LARGE_ACCOUNT), lengths) + "{}");
                HttpResult result = exchange.result();
                Expect.error(result, 400, "invalid_header", "not_run");
                // The start of the next request is unknown, so reusing the connection would allow request smuggling.
                Expect.equal("Connection", "close", result.header("connection").orElse("absent"));
            }
        }
    }

    private void expectContinue() throws IOException, CheckFailedException {
        String body = new Completion(true, FleetSession.MODEL, "x", 4).body(false);
        for (FleetMember router : session.routers()) {
            try (HttpExchange exchange = HttpExchange.open(router.address("caller"))) {
                exchange.write(head(
                        session.key(FleetSession.LARGE_ACCOUNT),
                        "Expect: 100-continue\r\nContent-Length: " + body.length() + "\r\n"));
                ClassicHttpResponse interim = exchange.head();
                Expect.equal("interim status", 100, interim.getCode());
                exchange.write(body);
                Expect.success(exchange.result());
            }
        }
    }

    /** Expects that a refused request gets its error response without an interim 100 response asking for the body. */
    private void expectContinueRefused() throws IOException, CheckFailedException {
        for (FleetMember router : session.routers()) {
            try (HttpExchange exchange = HttpExchange.open(router.address("caller"))) {
                exchange.write(head("cbk_unknown_unknown", "Expect: 100-continue\r\nContent-Length: 100\r\n"));
                Expect.equal("first status", 401, exchange.head().getCode());
            }
        }
    }
}
