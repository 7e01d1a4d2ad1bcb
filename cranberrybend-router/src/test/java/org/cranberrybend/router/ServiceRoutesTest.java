package org.cranberrybend.router;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.router.RouterHarness.KEY;
import static org.cranberrybend.router.RouterHarness.request;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests to plain services: removal of API keys, at-most-once execution, Idempotency-Key. */
class ServiceRoutesTest {
    private static Upstream upstream(FakeUpstream service) {
        return service.upstream("svc", "zone-a", "region-1", 4);
    }

    /** Guards against forwarding an API key, wherever in the request the caller sent it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /stock?key=KEY|",
                "GET /stock?a=1&KEY=x&b=2|",
                "GET /stock?key=ENCODED|",
                "GET /stock|X-Api-Key: KEY",
                "GET /stock|Proxy-Authorization: Bearer KEY",
                "GET /stock|Proxy-Authorization: Basic BASE64",
                "GET /stock|Cookie: session=KEY; other=1",
                "GET /stock|Cookie: session=BASE64",
                "GET /stock|X-Desk-Key: KEY",
                "GET /stock|X-Other: KEY",
                "GET /stock|X-Other: prefix KEY suffix",
                "GET /stock|X-Request-Class: KEY",
                "GET /stock|X-Request-Id: KEY",
                "GET /stock|Referer: http://router/?k=KEY",
                "GET /stock|KEY: 1",
                "GET /stock|Connection: X-Hop~X-Hop: KEY",
                "GET /stock|Idempotency-Key: KEY",
                "GET /stock/KEY|",
                "POST /stock|Transfer-Encoding: chunked~Trailer: X-Late~~2~{}~0~X-Late: KEY",
                "POST /stock|Content-Length: 67~~{\"key\":\"KEY\",\"filling\":\"........................\"}",
                "POST /stock?x=KEY|Content-Length: 2~~{}"
            })
    void keyReachesNoUpstream(String text) throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream service = new FakeUpstream("svc-1")) {
            harness.process.setUpstreams(List.of(upstream(service)));
            String[] parts = text.split("\\|", 2);
            String raw = parts[0] + " HTTP/1.1~Connection: close~Authorization: Bearer KEY~" + parts[1] + "~~";
            String encoded = KEY.replace("_", "%5F");
            String base64 = Base64.getEncoder().encodeToString(("user:" + KEY).getBytes(StandardCharsets.UTF_8));
            String response = harness.send(raw.replace("ENCODED", encoded)
                    .replace("BASE64", base64)
                    .replace("KEY", KEY)
                    .replace("~", "\r\n"));
            assertThat(response).doesNotContain(KEY);
            assertThat(response).containsMatch("^HTTP/1.1 (200|400|403) ");
            for (String received : service.received) {
                assertThat(received).doesNotContain("s3cretValue");
                assertThat(received).doesNotContain(base64);
                assertThat(received).contains("X-Request-Id: req-1");
            }
            assertThat(harness.events.eventsAfter(0).toString()).doesNotContain("s3cretValue");
        }
    }

    /** Guards against stripping headers and parameters without a key. */
    @Test
    void otherHeadersAndParametersAreForwarded() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream service = new FakeUpstream("svc-1")) {
            harness.process.setUpstreams(List.of(upstream(service)));
            String response = harness.send(
                    request("POST", "/stock/7?size=m&key=" + KEY + "&colour=%C3%A9", "X-Shop: 4\r\n", "order 12"));
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(service.received.get(0)).startsWith("POST /stock/7?size=m&colour=%C3%A9\n");
            assertThat(service.received.get(0)).contains("X-Shop: 4\n");
            assertThat(service.received.get(0)).endsWith("\n\norder 12");
        }
    }

    /** Guards against a second execution, and against an incorrect not_run, after a response was lost. */
    @ParameterizedTest
    @CsvSource({"/orders, 502, outcome_unknown, 1", "/stock, 200, run, 2"})
    void lostResponse(String path, int status, String text, int runs) throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream first = new FakeUpstream("svc-1");
                FakeUpstream second = new FakeUpstream("svc-2")) {
            first.losingResponse = true;
            harness.process.setUpstreams(List.of(upstream(first), upstream(second)));
            String response = harness.send(request("POST", path, "", "{}"));
            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(response).contains(text);
            assertThat(first.runs.get() + second.runs.get()).isEqualTo(runs);
        }
    }

    /** Guards against outcome_unknown when no byte was sent, and against not retrying on a reachable upstream. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusedConnectionIsNotRun(boolean withOther) throws Exception {
        int freePort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            freePort = socket.getLocalPort();
        }
        Upstream closed = new Upstream(
                "svc-0",
                "zone-a",
                "region-1",
                "127.0.0.1",
                freePort,
                UpstreamKind.SERVICE,
                Set.of("svc"),
                4,
                Market.GUARANTEED,
                false,
                false);
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream other = new FakeUpstream("svc-1")) {
            harness.process.setUpstreams(withOther ? List.of(closed, upstream(other)) : List.of(closed));
            String response = harness.send(request("POST", "/orders", "", "{}"));
            if (withOther) {
                assertThat(response).startsWith("HTTP/1.1 200");
                assertThat(other.runs.get()).isEqualTo(1);
            } else {
                assertThat(response).startsWith("HTTP/1.1 502");
                assertThat(response).contains("\"run_state\":\"not_run\"");
            }
        }
    }

    /** Guards against new requests to an upstream that reported it is leaving before the instance list does. */
    @Test
    void leavingUpstreamReceivesNothingMore() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream leaving = new FakeUpstream("svc-1");
                FakeUpstream other = new FakeUpstream("svc-2")) {
            leaving.rejecting = true;
            leaving.leaving = true;
            harness.process.setUpstreams(List.of(upstream(leaving), upstream(other)));
            for (int i = 0; i < 3; i++) {
                assertThat(harness.send(request("GET", "/stock", "", ""))).startsWith("HTTP/1.1 200");
            }
            assertThat(leaving.received).hasSize(1);
            assertThat(other.received).hasSize(3);
        }
    }

    /** Guards against retrying a non-idempotent request that an upstream rejected after its first byte was written. */
    @Test
    void rejectionOfAnOrderIsReportedAsNotRun() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream refusing = new FakeUpstream("svc-1");
                FakeUpstream other = new FakeUpstream("svc-2")) {
            refusing.rejecting = true;
            harness.process.setUpstreams(List.of(upstream(refusing), upstream(other)));
            String response = harness.send(request("POST", "/orders", "", "{}"));
            assertThat(response).contains("\"run_state\":\"not_run\"");
            assertThat(other.received).isEmpty();
        }
    }

    /** Guards against aborting an in-flight order when its key is revoked. */
    @Test
    void orderInFlightCompletesAfterRevocation() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream service = new FakeUpstream("svc-1");
                Socket socket = harness.connect()) {
            service.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(upstream(service)));
            socket.getOutputStream().write(request("POST", "/orders", "", "{}").getBytes(StandardCharsets.UTF_8));
            RouterHarness.await(() -> service.runs.get() == 1);
            harness.process.revoke(RevocationSet.EMPTY.with("clerk1"));
            service.hold.countDown();
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).contains("run 1 on svc-1");
        }
    }

    /** Guards against a second execution under one Idempotency-Key, whatever the outcome of the first. */
    @Test
    void idempotencyKeyRunsOnce() throws Exception {
        try (FakeKeyValueStore store = new FakeKeyValueStore();
                RouterHarness harness = new RouterHarness(store.uri(), "");
                FakeUpstream service = new FakeUpstream("svc-1")) {
            harness.process.setUpstreams(List.of(upstream(service)));
            String keyed = request("POST", "/orders", "Idempotency-Key: seat-12\r\n", "{\"seat\":12}");
            String first = harness.send(keyed);
            assertThat(first).contains("run 1 on svc-1");
            String replayed = harness.send(keyed);
            assertThat(replayed).contains("run 1 on svc-1");
            assertThat(replayed).contains("Idempotency-Replayed: true");
            String other = request("POST", "/orders", "Idempotency-Key: seat-12\r\n", "{\"seat\":13}");
            assertThat(harness.send(other)).contains("idempotency_key_mismatch");
            service.losingResponse = true;
            String lost = request("POST", "/orders", "Idempotency-Key: seat-14\r\n", "{}");
            assertThat(harness.send(lost)).contains("\"run_state\":\"outcome_unknown\"");
            service.losingResponse = false;
            assertThat(harness.send(lost)).contains("\"code\":\"idempotency_outcome_unknown\"");
            assertThat(service.runs.get()).isEqualTo(2);
            store.losingWrites = true;
            String resolved = request("POST", "/orders", "Idempotency-Key: seat-15\r\n", "{}");
            assertThat(harness.send(resolved)).contains("run 3 on svc-1");
            store.losingWrites = false;
            assertThat(harness.send(request("POST", "/print", "", "{}"))).contains("idempotency_key_required");
            assertThat(harness.send(request("POST", "/orders", "Idempotency-Key: \t\r\n", "{}")))
                    .contains("idempotency_key_invalid");
        }
    }

    /**
     * Guards against an execution that another zone could repeat, and against refusing requests that need no record.
     */
    @Test
    void unreachableStoreRefusesOnlyKeyedRequests() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream service = new FakeUpstream("svc-1")) {
            harness.process.setUpstreams(List.of(upstream(service)));
            String keyed = harness.send(request("POST", "/orders", "Idempotency-Key: seat-12\r\n", "{}"));
            assertThat(keyed).contains("idempotency_store_unavailable");
            assertThat(keyed).contains("\"run_state\":\"not_run\"");
            assertThat(service.received).isEmpty();
            assertThat(harness.send(request("POST", "/orders", "", "{}"))).contains("run 1");
        }
    }

    /** Guards against a concurrent second execution while the first is in progress. */
    @Test
    void concurrentRequestWithTheSameKeyIsRefused() throws Exception {
        try (FakeKeyValueStore store = new FakeKeyValueStore();
                RouterHarness harness = new RouterHarness(store.uri(), "");
                FakeUpstream service = new FakeUpstream("svc-1");
                Socket socket = harness.connect()) {
            service.hold = new CountDownLatch(1);
            harness.process.setUpstreams(List.of(upstream(service)));
            String keyed = request("POST", "/orders", "Idempotency-Key: seat-12\r\n", "{}");
            socket.getOutputStream().write(keyed.getBytes(StandardCharsets.UTF_8));
            harness.awaitEvent("req-1", EventCode.REQUEST_DISPATCHED);
            String repeated = harness.send(keyed);
            assertThat(repeated).contains("idempotency_in_progress");
            assertThat(repeated).contains("\"run_state\":\"outcome_unknown\"");
            service.hold.countDown();
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .contains("run 1");
        }
    }

    /** Guards against using a distant zone while a nearer one has an upstream. */
    @Test
    void nearestZoneServes() throws Exception {
        try (RouterHarness harness = new RouterHarness();
                FakeUpstream far = new FakeUpstream("svc-1");
                FakeUpstream near = new FakeUpstream("svc-2");
                FakeUpstream own = new FakeUpstream("svc-3")) {
            Upstream inOtherRegion = far.upstream("svc", "zone-0", "region-0", 4);
            Upstream inOwnRegion = near.upstream("svc", "zone-b", "region-1", 4);
            String stock = request("GET", "/stock", "", "");
            harness.process.setUpstreams(List.of(inOtherRegion));
            assertThat(harness.send(stock)).contains("on svc-1");
            harness.process.setUpstreams(List.of(inOtherRegion, inOwnRegion));
            assertThat(harness.send(stock)).contains("on svc-2");
            harness.process.setUpstreams(List.of(inOtherRegion, inOwnRegion, upstream(own)));
            assertThat(harness.send(stock)).contains("on svc-3");
        }
    }
}
