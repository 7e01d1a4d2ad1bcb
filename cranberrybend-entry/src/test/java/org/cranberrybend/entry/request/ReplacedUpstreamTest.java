package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;

/** Upstreams that have crashed, while a successor with another identifier answers at their address. */
class ReplacedUpstreamTest {
    private static final int REQUESTS = 8;
    private static final Script SERVES =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));
    private static final Script REPLACED =
            (received, connection) -> write(connection, response(received, "421 Misdirected Request", ""));

    private static String statusOfRequest(EntryFixture entry, String attempt) throws Exception {
        try (RawCaller caller = entry.caller()) {
            String text = request("POST", "/once/x", attempt, "order");
            return statusOf(caller.send(text.replace("\nDeadline", "\nConnection: close\nDeadline"))
                    .readAll());
        }
    }

    // Guards against requests that use up their attempts at an address where the listed process no longer is.
    @Test
    void addressOfAReplacedUpstreamIsNotTriedByFurtherRequests() throws Exception {
        try (ScriptedUpstream replaced = new ScriptedUpstream(REPLACED);
                ScriptedUpstream serving = new ScriptedUpstream(SERVES);
                EntryFixture entry = new EntryFixture(replaced, serving)) {
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(statusOfRequest(entry, "a" + i)).isEqualTo("200");
            }
            assertThat(replaced.received().size()).isAtMost(1);
        }
    }

    // Guards against refusing requests for good because of one wrong rejection of the only upstream.
    @Test
    void theOnlyUpstreamIsTriedAgain() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Script firstIsRejected = (received, connection) ->
                (requests.getAndIncrement() == 0 ? REPLACED : SERVES).respond(received, connection);
        try (ScriptedUpstream upstream = new ScriptedUpstream(firstIsRejected);
                EntryFixture entry = new EntryFixture(upstream)) {
            assertThat(statusOfRequest(entry, "a1")).isEqualTo("503");
            assertThat(statusOfRequest(entry, "a2")).isEqualTo("200");
        }
    }
}
