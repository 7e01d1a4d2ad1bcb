package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.chunk;
import static org.cranberrybend.entry.testing.Responses.event;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.Responses.streamHead;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ResponseRecorder;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that may be processed in some regions only. The instance is in region a. */
class RegionConstraintTest {
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final RegionConstraint REGION_B = RegionConstraint.of(List.of("region-b"));
    private static final int REQUESTS = 6;

    private final ScriptedUpstream near;
    private final ScriptedUpstream far;
    private final ScriptedUpstream nowhere;

    RegionConstraintTest() throws Exception {
        near = new ScriptedUpstream(SERVES);
        far = new ScriptedUpstream(SERVES);
        nowhere = new ScriptedUpstream(SERVES);
    }

    @AfterEach
    void closeUpstreams() throws Exception {
        near.close();
        far.close();
        nowhere.close();
    }

    /** Returns an instance that knows an upstream in region a, one in region b and one in a zone of no known region. */
    private EntryFixture instance(ScriptedUpstream upstreamInRegionB) throws Exception {
        EntryFixture entry = new EntryFixture();
        entry.addEntry("near", near.port());
        entry.addEntry("far", upstreamInRegionB.port(), "zone-b");
        entry.addEntry("nowhere", nowhere.port(), "zone-unknown");
        return entry;
    }

    private static RegionConstraint constraint(String regions) {
        return RegionConstraint.of(Arrays.stream(regions.split(" "))
                .filter(each -> !each.isEmpty())
                .map(each -> "region-" + each)
                .collect(Collectors.toList()));
    }

    private static void constrain(EntryFixture entry, long version, RegionConstraint ofRoutes) throws Exception {
        constrain(entry, version, ofRoutes, RegionConstraint.NONE);
    }

    private static void constrain(
            EntryFixture entry, long version, RegionConstraint ofRoutes, RegionConstraint ofAccount) throws Exception {
        entry.onLoop(() -> {
            entry.offer(EntryFixture.configuration(version, ofRoutes, ofAccount));
            return null;
        });
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

    private static void awaitCaller(EntryFixture entry) throws Exception {
        assertThat(entry.awaitOnLoop(() -> entry.server().activeConnectionCount() > 0))
                .isTrue();
    }

    // Guards against a request outside its regions, whether the route, the account or both constrain it, and against
    // an upstream of an unknown region that counts as allowed.
    @ParameterizedTest
    @CsvSource({
        "b, '', far", "'', b, far", "a b, b c, far", "a, '', near",
        "a, b, none", "c, '', none", "'', c, none", "zone-unknown, '', none"
    })
    void constraintsOfRouteAndAccountBothApply(String ofRoute, String ofAccount, String expected) throws Exception {
        try (EntryFixture entry = instance(far)) {
            constrain(entry, 2, constraint(ofRoute), constraint(ofAccount));
            for (int i = 0; i < REQUESTS; i++) {
                String answer = call(entry, i % 2 == 0 ? "/once/x" : "/safe/x", "a" + i);
                if (expected.equals("none")) {
                    assertThat(statusOf(answer)).isEqualTo("503");
                    assertThat(answer).contains("\"no_upstream_in_allowed_region\"");
                    assertThat(answer).contains("\"run_state\":\"not_run\"");
                    assertThat(answer).contains("Retry-After: ");
                } else {
                    assertThat(statusOf(answer)).isEqualTo("200");
                }
            }
        }
        assertThat(near.received()).hasSize(expected.equals("near") ? REQUESTS : 0);
        assertThat(far.received()).hasSize(expected.equals("far") ? REQUESTS : 0);
        assertThat(nowhere.received()).isEmpty();
    }

    // Guards against a retry or a resumption of a stream outside the allowed regions, and against the fallback to it
    // after the only upstream of the region was ejected.
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/stream/x", "/once/x"})
    void lostRequestStaysInItsRegions(String path) throws Exception {
        Script breaksOff = (received, connection) -> {
            if (path.equals("/stream/x")) {
                write(connection, streamHead(received) + chunk(event(1)));
            }
            connection.close();
        };
        try (ScriptedUpstream failing = new ScriptedUpstream(breaksOff);
                EntryFixture entry = instance(failing)) {
            constrain(entry, 2, REGION_B);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(call(entry, path, "a" + i)).doesNotContain("done");
            }
            assertThat(failing.received()).hasSize(REQUESTS);
        }
        assertThat(near.received()).isEmpty();
        assertThat(nowhere.received()).isEmpty();
    }

    // Guards against a request that is refused instead of waiting for its region, because upstreams elsewhere are free,
    // and against unconstrained requests that wait behind it.
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void pauseInOneRegionConcernsOnlyItsRequests(String path) throws Exception {
        try (EntryFixture entry = instance(far)) {
            constrain(entry, 2, REGION_B);
            pause(entry, "far", 20_000);
            try (RawCaller waiting = entry.caller().send(text(path, "a1", 30_000))) {
                awaitCaller(entry);
                assertThat(statusOf(call(entry, "/open/x", "a2"))).isEqualTo("200");
                entry.addEntry("joins", far.port(), "zone-b");
                assertThat(statusOf(waiting.readAll())).isEqualTo("200");
            }
        }
        assertThat(far.received()).hasSize(1);
    }

    // Guards against a request that waits and is then sent to a region that the configuration no longer allows, and
    // against a request that gains a region by a change of the configuration.
    @ParameterizedTest
    @CsvSource({"a, 503", "a c, 503", "b, 200", "'', 200"})
    void waitingRequestFollowsTheStricterConstraint(String next, String status) throws Exception {
        try (EntryFixture entry = instance(far)) {
            constrain(entry, 2, REGION_B);
            pause(entry, "far", 300);
            try (RawCaller waiting = entry.caller().send(text("/once/x", "a1", 30_000))) {
                awaitCaller(entry);
                constrain(entry, 3, constraint(next));
                assertThat(statusOf(waiting.readAll())).isEqualTo(status);
            }
        }
        assertThat(far.received()).hasSize(status.equals("200") ? 1 : 0);
        assertThat(near.received()).isEmpty();
    }

    // Guards against a request on a connection that was being opened when the configuration removed its region.
    @ParameterizedTest
    @CsvSource({"a, 503", "b, 200"})
    void constraintIsCheckedOnANewConnection(String next, int status) throws Exception {
        try (EntryFixture entry = instance(far)) {
            constrain(entry, 2, REGION_B);
            ResponseRecorder exchange = new ResponseRecorder();
            entry.onLoop(() -> {
                entry.handler().handle(EntryFixture.orderRequest(), exchange);
                entry.offer(EntryFixture.configuration(3, constraint(next), RegionConstraint.NONE));
                return null;
            });
            assertThat(entry.awaitOnLoop(() -> exchange.status() != 0)).isTrue();
            assertThat(entry.onLoop(exchange::status)).isEqualTo(status);
        }
        assertThat(far.received()).hasSize(status == 200 ? 1 : 0);
        assertThat(near.received()).isEmpty();
    }
}
