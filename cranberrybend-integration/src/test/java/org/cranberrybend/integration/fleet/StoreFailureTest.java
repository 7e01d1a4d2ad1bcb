package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cranberrybend.experiment.check.CheckFailedException;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.experiment.check.OperatorClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests failures of the key-value store and conflicting configuration changes. The tests share a fleet. */
class StoreFailureTest {
    private static final String TEMPLATE = "back-office";
    private static final String LIMIT_FIELD = "max_concurrent_requests";
    private static final int RACES = 10;

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = Fleet.start("store", FleetPlan.of(2, 2, 1, 1));
    }

    @AfterAll
    static void end() throws InterruptedException {
        fleet.close();
    }

    @AfterEach
    void endFaults() throws IOException {
        fleet.platformFault("kv", "ok");
    }

    private static long revision(OperatorClient operator) throws IOException {
        return operator.read("/v1/configuration").path("revision").asLong();
    }

    private static HttpResult setLimit(OperatorClient operator, long seenRevision, String author, int limit)
            throws IOException {
        ObjectNode template = operator.entity("template", TEMPLATE).deepCopy();
        return operator.change(seenRevision, author, "template", TEMPLATE, template.put(LIMIT_FIELD, limit));
    }

    private static List<FleetMember> daemons() {
        List<FleetMember> daemons = new ArrayList<>(fleet.withRole("router"));
        daemons.addAll(fleet.withRole("controller"));
        return daemons;
    }

    private static long revision(FleetMember daemon) throws IOException {
        JsonNode status = fleet.status(daemon);
        return status.path("configuration_revision")
                .asLong(status.path("revision").asLong());
    }

    private static void awaitRevision(long revision) throws CheckFailedException, InterruptedException {
        for (FleetMember daemon : daemons()) {
            Fleet.await(daemon.name() + " has revision " + revision, () -> revision(daemon) == revision);
        }
    }

    // During an outage of the key-value store, requests are still served, a revoked key is refused, and a request with
    // an idempotency key is not executed because its record cannot be written. The revocation is kept after the outage.
    @Test
    void storeDown() throws Exception {
        JsonNode issued = fleet.operator(1).issueKey(Fleet.ACCOUNT);
        String key = issued.path("key").asText();
        String keyId = issued.path("key_id").asText();
        for (FleetMember router : fleet.withRole("router")) {
            Fleet.await("the key works", () -> Fleet.models(router, key).status() == 200);
        }
        fleet.platformFault("kv", "down");
        HttpResult revoked = fleet.operator(2).revokeKey(Fleet.ACCOUNT, keyId);
        assertWithMessage(revoked.text()).that(revoked.status()).isEqualTo(202);
        for (FleetMember router : fleet.withRole("router")) {
            Fleet.await(
                    "the revoked key is refused",
                    () -> Fleet.models(router, key).text().contains("\"key_revoked\""));
            assertSucceeded(fleet.complete(router, new Completion(true, Fleet.MODEL, "outage", 3)));
            HttpResult order = fleet.printOrder(router, "outage-" + router.name(), "{\"stub\":\"outage\"}");
            assertThat(order.status()).isEqualTo(503);
            assertThat(order.json().path("error").path("run_state").asText()).isEqualTo("not_run");
        }
        assertThat(ordersReceived()).isEqualTo(0);
        fleet.platformFault("kv", "ok");
        Fleet.await("the revocation is in the configuration", () -> isRevokedInStore(keyId));
        FleetMember router = fleet.member("router-1");
        Fleet.await(
                "orders run again",
                () -> fleet.printOrder(router, "after-outage", "{\"stub\":\"after\"}")
                                .status()
                        == 200);
        assertThat(Fleet.models(router, key).status()).isEqualTo(401);
        assertThat(Fleet.models(router, fleet.key()).status()).isEqualTo(200);
    }

    private static void assertSucceeded(HttpResult result) {
        assertWithMessage(result.text()).that(result.status()).isEqualTo(200);
    }

    private static int ordersReceived() throws IOException {
        int count = 0;
        for (JsonNode each : fleet.requests("service-1")) {
            count += each.path("target").asText().startsWith("/print-orders") ? 1 : 0;
        }
        return count;
    }

    private static boolean isRevokedInStore(String keyId) throws IOException {
        OperatorClient operator = fleet.operator(1);
        if (!operator.read("/v1/configuration").path("confirmed").asBoolean()) {
            return false;
        }
        for (JsonNode each : operator.entity("account", Fleet.ACCOUNT).path("keys")) {
            if (each.path("key_id").asText().equals(keyId)) {
                return each.path("revoked").asBoolean();
            }
        }
        return false;
    }

    // If the key-value store returns to older data, daemons must keep the accepted configuration, and it must be
    // written back to the store.
    @Test
    void storeWithOlderData() throws Exception {
        OperatorClient operator = fleet.operator(1);
        fleet.control("platform-1", "POST", "/fault/snapshot", Map.of());
        for (int i = 0; i < 3; i++) {
            assertSucceeded(setLimit(operator, revision(operator), "before", 60 + i));
        }
        long accepted = revision(operator);
        JsonNode entities = operator.read("/v1/configuration").path("entities");
        awaitRevision(accepted);
        fleet.platformFault("kv", "older");
        Map<FleetMember, Long> highest = new HashMap<>();
        Fleet.await("the accepted configuration is written back", () -> {
            for (FleetMember daemon : daemons()) {
                long seen = revision(daemon);
                assertWithMessage(daemon.name()).that(seen).isAtLeast(highest.getOrDefault(daemon, accepted));
                highest.put(daemon, seen);
            }
            return storedRevision() >= accepted;
        });
        JsonNode restored = operator.read("/v1/configuration");
        assertThat(restored.path("confirmed").asBoolean()).isTrue();
        assertThat(restored.path("entities")).isEqualTo(entities);
        HttpResult next = setLimit(operator, restored.path("revision").asLong(), "after", 70);
        assertSucceeded(next);
        awaitRevision(restored.path("revision").asLong() + 1);
    }

    private static long storedRevision() throws IOException {
        return fleet.control("platform-1", "GET", "/v1/kv/config/head", null)
                .path("revision")
                .asLong();
    }

    // Of two concurrent changes with the same seen revision exactly one must be accepted. Otherwise one operator's
    // change overwrites the other's, or both are refused.
    @Test
    void operatorsRace() throws Exception {
        ExecutorService operators = Executors.newFixedThreadPool(2);
        try {
            for (int race = 0; race < RACES; race++) {
                long seen = revision(fleet.operator(1));
                awaitRevision(seen);
                CyclicBarrier start = new CyclicBarrier(2);
                List<Future<HttpResult>> changes = new ArrayList<>();
                for (int i = 1; i <= 2; i++) {
                    OperatorClient operator = fleet.operator(i);
                    int limit = 100 * i + race;
                    changes.add(operators.submit(() -> {
                        start.await();
                        return setLimit(operator, seen, "operator-" + limit, limit);
                    }));
                }
                assertOneChangeAccepted(changes, race);
            }
        } finally {
            operators.shutdownNow();
        }
    }

    private static void assertOneChangeAccepted(List<Future<HttpResult>> changes, int race) throws Exception {
        HttpResult first = changes.get(0).get();
        HttpResult second = changes.get(1).get();
        String both = first.text() + " " + second.text();
        assertWithMessage(both).that(List.of(first.status(), second.status())).containsExactly(200, 409);
        int winner = first.status() == 200 ? 1 : 2;
        JsonNode conflict = (winner == 1 ? second : first).json().path("error");
        assertThat(conflict.path("code").asText()).isEqualTo("revision_conflict");
        assertThat(conflict.path("message").asText()).contains("operator-" + (100 * winner + race));
        for (int i = 1; i <= 2; i++) {
            OperatorClient operator = fleet.operator(i);
            assertThat(operator.entity("template", TEMPLATE).path(LIMIT_FIELD).asInt())
                    .isEqualTo(100 * winner + race);
        }
    }
}
