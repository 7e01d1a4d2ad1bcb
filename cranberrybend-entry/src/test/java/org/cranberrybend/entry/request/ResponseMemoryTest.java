package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Upstreams that send many responses at once, each of which stays below its own limit and has no end. */
class ResponseMemoryTest {
    private static final int REQUESTS = 40;
    private static final int MIN_FAILURES = 10;
    private static final String SMALL_RESPONSE = response("small", "200 OK", "done");
    private static final String FILLER = "x".repeat(1_000);
    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt: ATTEMPT\r\nSignature: s1\r\n";
    private static final String STREAM = HEAD + "Content-Type: text/event-stream\r\n";

    /** Part of a response that the instance keeps until it is complete. */
    private enum Part {
        HEAD_LINES(HEAD, ("Odd: " + FILLER + "\r\n").repeat(180)),
        BODY(HEAD + "Content-Length: 5000000\r\n\r\n", FILLER.repeat(800)),
        TRAILERS(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", ("Odd: " + FILLER + "\r\n").repeat(180)),
        EVENT(STREAM + "Content-Length: 5000000\r\n\r\nid: 1\ndata: one\n\n", "data: " + FILLER.repeat(800)),
        EVENT_LINES(STREAM + "Content-Length: 5000000\r\n\r\n", ("data: " + FILLER + "\n").repeat(800));

        private final String start;
        private final String filler;

        Part(String start, String filler) {
            this.start = start;
            this.filler = filler;
        }
    }

    // Guards against responses of a faulty upstream that together use up the memory of the process, although each is
    // below its own limit; the requests of all other callers end with the process. A small response is not affected.
    @ParameterizedTest
    @CsvSource({
        "HEAD_LINES, /once/x",
        "BODY, /once/x",
        "TRAILERS, /once/x",
        "EVENT, /single/x",
        "EVENT_LINES, /single/x"
    })
    void responsesWithoutEndShareALimit(Part part, String path) throws Exception {
        CountDownLatch arrived = new CountDownLatch(REQUESTS);
        CountDownLatch end = new CountDownLatch(1);
        Script script = (received, connection) -> {
            String attempt = received.headers().get("attempt");
            if (attempt.equals("small")) {
                write(connection, SMALL_RESPONSE.substring(0, SMALL_RESPONSE.length() - 2));
                await(end);
                write(connection, SMALL_RESPONSE.substring(SMALL_RESPONSE.length() - 2));
                return;
            }
            // All requests are sent before the first one fails, since failing upstreams are ejected.
            arrived.countDown();
            await(arrived);
            write(connection, (part.start + part.filler).replace("ATTEMPT", attempt));
            await(end);
        };
        List<RawCaller> callers = new ArrayList<>();
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller small = entry.caller().send(longRequest("/once/x", "small"))) {
            for (int i = 0; i < REQUESTS; i++) {
                callers.add(entry.caller().send(longRequest(path, "a" + i)));
            }
            assertWithMessage("responses were ended for lack of memory")
                    .that(entry.awaitLog("memory for responses is used up", MIN_FAILURES))
                    .isTrue();
            assertThat(entry.onLoop(() -> entry.responseMemory().usedBytes()))
                    .isAtMost(EntryFixture.RESPONSE_MEMORY_BYTES);
            end.countDown();
            assertThat(small.readUntil("done")).startsWith("HTTP/1.1 200");
            for (RawCaller caller : callers) {
                caller.close();
            }
            assertWithMessage("bytes in use after the end of all requests")
                    .that(awaitUnused(entry))
                    .isEqualTo(0);
        }
    }

    private static String longRequest(String path, String attempt) {
        return request("POST", path, attempt, "order").replace("Deadline: 1400", "Deadline: 30000");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long awaitUnused(EntryFixture entry) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        long usedBytes = entry.onLoop(() -> entry.responseMemory().usedBytes());
        while (usedBytes > 0 && System.nanoTime() < endNs) {
            usedBytes = entry.onLoop(() -> entry.responseMemory().usedBytes());
        }
        return usedBytes;
    }
}
