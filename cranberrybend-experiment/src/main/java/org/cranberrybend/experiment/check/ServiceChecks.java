package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;

/** Checks of requests to plain services: print orders, which are executed at most once, and stock lookups. */
final class ServiceChecks {
    private static final String ORDERS = "/print-orders";

    private final FleetSession session;

    ServiceChecks(FleetSession session) {
        this.session = session;
    }

    void run(CheckRun run) throws InterruptedException {
        run.check("print-order-replay", this::replay);
        run.check("print-order-mismatch", this::mismatch);
        run.check("print-order-without-key", this::withoutKey);
        run.check("stock-lookup", this::stock);
    }

    private HttpResult order(FleetMember router, String idempotencyKey, String body) throws IOException {
        Map<String, String> headers =
                FleetSession.headers(session.key(FleetSession.LARGE_ACCOUNT), "Idempotency-Key", idempotencyKey);
        return FleetSession.call(router, "POST", ORDERS, headers, body);
    }

    private String body(String name) {
        return CanonicalJson.write(Map.of("stub", session.unique(name), "seats", 2));
    }

    /** Expects that an order is executed once and that every router replays the stored response to its repetition. */
    private void replay() throws IOException, CheckFailedException {
        String key = session.unique("replay");
        String body = body("replay");
        HttpResult first = Expect.success(order(session.firstRouter(), key, body));
        Expect.equal(
                "Idempotency-Replayed of the first response",
                "absent",
                first.header("idempotency-replayed").orElse("absent"));
        for (FleetMember router : session.routers()) {
            HttpResult again = Expect.success(order(router, key, body));
            Expect.equal(
                    "Idempotency-Replayed",
                    "true",
                    again.header("idempotency-replayed").orElse("absent"));
            Expect.equal("replayed body", first.text(), again.text());
        }
        Expect.equal("runs", 1L, executionCount(first.json().path("body_digest").asText()));
    }

    private void mismatch() throws IOException, CheckFailedException {
        String key = session.unique("mismatch");
        Expect.success(order(session.firstRouter(), key, body("mismatch-first")));
        for (FleetMember router : session.routers()) {
            HttpResult other = order(router, key, body("mismatch-other"));
            Expect.error(other, 422, "idempotency_key_mismatch", "not_run");
        }
        Expect.equal("runs", 0L, executionCount(CanonicalJson.digestHex(body("mismatch-other"))));
    }

    private void withoutKey() throws IOException, CheckFailedException {
        String body = body("without-key");
        Map<String, String> headers = FleetSession.headers(session.key(FleetSession.LARGE_ACCOUNT));
        for (FleetMember router : session.routers()) {
            HttpResult result = FleetSession.call(router, "POST", ORDERS, headers, body);
            Expect.error(result, 400, "idempotency_key_required", "not_run");
        }
        Expect.equal("runs", 0L, executionCount(CanonicalJson.digestHex(body)));
    }

    /** Expects that the API key is removed from every place a caller may put it and the rest of the target is kept. */
    private void stock() throws IOException, CheckFailedException {
        String key = session.key(FleetSession.SMALL_ACCOUNT);
        Map<String, String> headers = FleetSession.headers(
                key,
                "X-Api-Key",
                key,
                "Proxy-Authorization",
                "Bearer " + key,
                "Cookie",
                "session=" + key + "; language=hu");
        for (FleetMember router : session.routers()) {
            String target = "/stock/7?api_key=" + key + "&row=3";
            HttpResult result = Expect.success(FleetSession.call(router, "GET", target, headers, null));
            Expect.equal(
                    "target", "/stock/7?row=3", result.json().path("target").asText());
        }
    }

    /** Returns how often the services executed a request with the given body, in total. */
    private long executionCount(String bodyDigest) throws IOException {
        long count = 0;
        for (FleetMember service : session.fleet().withRole("service")) {
            count += HttpExchange.call(service.address("http"), "GET", "/counters", Map.of(), null)
                    .json()
                    .path("runs_by_body_digest")
                    .path(bodyDigest)
                    .asLong();
        }
        return count;
    }
}
