package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests while zone a, the zone of the instance, is evacuated. */
class ZoneEvacuationTest {
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final int REQUESTS = 6;

    private final ScriptedUpstream near;
    private final ScriptedUpstream far;

    ZoneEvacuationTest() throws Exception {
        near = new ScriptedUpstream(SERVES);
        far = new ScriptedUpstream(SERVES);
    }

    @AfterEach
    void closeUpstreams() throws Exception {
        near.close();
        far.close();
    }

    private static EntryFixture instance(ScriptedUpstream inZoneA, ScriptedUpstream inZoneB) throws Exception {
        EntryFixture entry = new EntryFixture();
        entry.addEntry("near", inZoneA.port());
        entry.addEntry("far", inZoneB.port(), "zone-b");
        return entry;
    }

    private static String text(String path, String attempt, long deadlineMs) {
        return request("POST", path, attempt, "order")
                .replace("\nDeadline: 1400", "\nConnection: close\nDeadline: " + deadlineMs);
    }

    private static String call(EntryFixture entry, String path, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.send(text(path, attempt, 1_400)).readAll();
        }
    }

    private static void pause(EntryFixture entry, String id, long pauseMs) throws Exception {
        entry.onLoop(() -> {
            entry.table().recordPause(entry.table().find(id).get(), pauseMs);
            return null;
        });
    }

    private static void awaitConnections(EntryFixture entry, String id, int expected) throws Exception {
        assertWithMessage("%s connections to %s", expected, id)
                .that(entry.awaitOnLoop(
                        () -> entry.table().find(id).get().pool().openConnections() == expected))
                .isTrue();
    }

    /** Returns an attempt whose dispatch is logged. */
    private static String sampledAttempt() {
        return IntStream.range(0, 10_000)
                .mapToObj(number -> "s" + number)
                .filter(DecisionLog::isSampled)
                .findFirst()
                .get();
    }

    // Guards against new requests to an evacuated zone, against one that is never used again, and against a log that
    // does not say why its upstreams were skipped.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/safe/x", "/stream/x"})
    void evacuatedZoneReceivesNothingUntilItsReturn(String path) throws Exception {
        try (EntryFixture entry = instance(near, far)) {
            entry.evacuate("zone-a");
            assertThat(entry.gauge("zones_evacuated")).isEqualTo(1);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(statusOf(call(entry, path, "a" + i))).isEqualTo("200");
            }
            call(entry, path, sampledAttempt());
            assertThat(near.received()).isEmpty();
            assertThat(entry.awaitLog("ZONE_EVACUATED")).isTrue();
            assertThat(entry.awaitLog("zone zone-a zone evacuated")).isTrue();
            entry.evacuate();
            assertThat(entry.gauge("zones_evacuated")).isEqualTo(0);
            assertThat(statusOf(call(entry, path, "b"))).isEqualTo("200");
            assertThat(near.received()).hasSize(1);
            assertThat(entry.awaitLog("ZONE_RETURNED")).isTrue();
        }
    }

    // Guards against a request that leaves its region because the region has no zone left, and against an untrue
    // refusal.
    @ParameterizedTest
    @CsvSource({"zone-a zone-b, '', no_upstream", "zone-b, region-b, no_upstream_in_allowed_region"})
    void requestWithoutAZoneIsRefused(String zones, String region, String code) throws Exception {
        try (EntryFixture entry = instance(near, far)) {
            RegionConstraint regions = RegionConstraint.of(region.isEmpty() ? List.of() : List.of(region));
            entry.onLoop(() -> {
                entry.offer(EntryFixture.configuration(2, regions, RegionConstraint.NONE));
                return null;
            });
            entry.evacuate(zones.split(" "));
            String answer = call(entry, "/once/x", "a1");
            assertThat(statusOf(answer)).isEqualTo("503");
            assertThat(answer).contains("\"" + code + "\"");
            assertThat(answer).contains("\"run_state\":\"not_run\"");
            assertThat(answer).contains("Retry-After: 2.");
        }
        assertThat(near.received()).isEmpty();
        assertThat(far.received()).isEmpty();
    }

    // Guards against a request that has waited for an upstream and is sent there although its zone was evacuated.
    @ParameterizedTest
    @CsvSource({"false, 503", "true, 200"})
    void waitingRequestLeavesAnEvacuatedZone(boolean otherZoneJoins, String status) throws Exception {
        try (EntryFixture entry = instance(near, far)) {
            entry.removeEntry("far");
            pause(entry, "near", 400);
            try (RawCaller waiting = entry.caller().send(text("/once/x", "a1", 30_000))) {
                assertThat(entry.awaitOnLoop(() -> entry.server().activeConnectionCount() > 0))
                        .isTrue();
                if (otherZoneJoins) {
                    entry.addEntry("far", far.port(), "zone-b");
                }
                entry.evacuate("zone-a");
                assertThat(statusOf(waiting.readAll())).isEqualTo(status);
            }
        }
        assertThat(near.received()).isEmpty();
    }

    // Guards against a retry, a resumption, or the fallback of a service whose upstreams are all ejected, that goes to
    // an evacuated zone.
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/stream/x", "/once/x"})
    void lostRequestIsNotSentToAnEvacuatedZone(String path) throws Exception {
        Script breaksOff = (received, connection) -> {
            if (path.equals("/stream/x")) {
                write(connection, streamHead(received) + chunk(event(1)));
            }
            connection.close();
        };
        try (ScriptedUpstream failing = new ScriptedUpstream(breaksOff);
                EntryFixture entry = instance(near, failing)) {
            entry.evacuate("zone-a");
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(call(entry, path, "a" + i)).doesNotContain("done");
            }
            assertThat(failing.received()).hasSize(REQUESTS);
        }
        assertThat(near.received()).isEmpty();
    }

    // Guards against a request on a connection that was being opened when the evacuation began, and against that
    // connection being kept.
    @Test
    void evacuationIsCheckedOnANewConnection() throws Exception {
        try (EntryFixture entry = instance(near, far)) {
            ResponseRecorder exchange = new ResponseRecorder();
            entry.onLoop(() -> {
                entry.handler().handle(EntryFixture.orderRequest(), exchange);
                return entry.evacuateNow("zone-a");
            });
            assertThat(entry.awaitOnLoop(() -> exchange.status() != 0)).isTrue();
            assertThat(entry.onLoop(exchange::status)).isEqualTo(200);
            awaitConnections(entry, "near", 0);
        }
        assertThat(near.received()).isEmpty();
        assertThat(far.received()).hasSize(1);
    }

    // Guards against breaking off running requests, and against connections that are kept to an evacuated zone.
    @Test
    void runningRequestCompletesAndConnectionsAreClosed() throws Exception {
        CountDownLatch evacuated = new CountDownLatch(1);
        Script streams = (received, connection) -> {
            if (received.headers().get("attempt").equals("idle")) {
                write(connection, response(received, "200 OK", "done"));
                return;
            }
            write(connection, streamHead(received) + chunk(event(1)));
            await(evacuated);
            write(connection, chunk(event(2)) + "0\r\n\r\n");
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(streams);
                EntryFixture entry = instance(upstream, far);
                RawCaller caller = entry.caller()) {
            caller.send(text("/slow/x", "a1", 30_000)).readUntil("e1");
            call(entry, "/once/x", "idle");
            awaitConnections(entry, "near", 2);
            entry.evacuate("zone-a");
            assertThat(entry.gauge("requests_in_evacuated_zones")).isEqualTo(1);
            awaitConnections(entry, "near", 1);
            evacuated.countDown();
            assertThat(caller.readAll()).contains(event(2));
            awaitConnections(entry, "near", 0);
            assertThat(entry.gauge("requests_in_evacuated_zones")).isEqualTo(0);
            entry.evacuate();
            call(entry, "/once/x", "idle");
            awaitConnections(entry, "near", 1);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
