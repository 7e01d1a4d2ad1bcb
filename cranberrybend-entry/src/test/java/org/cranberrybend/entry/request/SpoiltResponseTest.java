package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.ScriptedUpstream.reset;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams in trouble, whose responses have a corrupted head or end while the request is still being written. */
class SpoiltResponseTest {
    private static final String FIELDS = "Attempt: a1\r\nSignature: s1\r\n";
    private static final int UPLOAD_BYTES = 90_000;

    private static final String PART = "part of the body";

    private static String call(String answer, String path) throws Exception {
        Script script = (received, connection) -> {
            write(connection, answer);
            connection.close();
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                EntryFixture entry = new EntryFixture(upstream);
                RawCaller caller = entry.caller()) {
            return caller.send(request("POST", path, "a1", "order").replace("\n\n", "\nConnection: close\n\n"))
                    .readAll();
        }
    }

    private static void assertNotPassedOn(String answer) throws Exception {
        for (String path : new String[] {"/once/x", "/stream/x"}) {
            String response = call(answer, path);
            assertWithMessage(path + ": " + answer).that(statusOf(response)).isEqualTo("502");
            assertThat(response).doesNotContain("done");
            assertThat(response).doesNotContain("Signature");
        }
    }

    // Guards against a response with a status that HTTP does not have, or that is not written as HTTP has it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1  200 OK",
                " HTTP/1.1 200 OK",
                "\r\nHTTP/1.1 200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\rK",
                "HTTP/2.0 200 OK",
                "HTTP/1.2 200 OK",
                "HTTP/11 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 101 OK",
                "HTTP/1.1 OK",
                "ICY 200 OK",
                "HTTP/1.1 200 OK\n"
            })
    void statusLineIsTakenAsItIsOrNotAtAll(String statusLine) throws Exception {
        assertNotPassedOn(statusLine + "\r\n" + FIELDS + "Content-Length: 4\r\n\r\ndone");
    }

    // Guards against a line that is no field, or another one than was sent: the parser joins a line that begins with a
    // blank to the one before, strips blanks around a name, and keeps control characters.
    @ParameterizedTest
    @ValueSource(
            strings = {
                " Odd: 1",
                "\tOdd: 1",
                "Odd : 1",
                "Odd\t: 1",
                "O dd: 1",
                "Odd",
                ":",
                ": 1",
                "Odd; 1",
                "O\u0000dd: 1",
                "\u0000Odd: 1",
                "Odd: 1\u0000",
                "Odd: \u0001",
                "Odd: 1\r",
                "Odd: 1\rContent-Length: 2",
                "Odd: \u007f",
                "O\u007fdd: 1",
                "Odd\u00a0: 1",
                "\u00d6dd: 1",
                "Odd(1): 1",
                "Odd: 1\nContent-Type: text/plain",
                "  ",
                "Content-Length : 2",
                " Content-Length: 2",
                "Transfer-Encoding : chunked",
                "HTTP/1.1 200 OK"
            })
    void lineThatIsNoFieldSpoilsTheResponse(String line) throws Exception {
        String head = "HTTP/1.1 200 OK\r\n";
        String length = "Content-Length: 4\r\n";
        assertNotPassedOn(head + line + "\r\n" + FIELDS + length + "\r\ndone");
        assertNotPassedOn(head + FIELDS + line + "\r\n" + length + "\r\ndone");
        assertNotPassedOn(head + FIELDS + length + line + "\r\n\r\ndone");
    }

    // Guards against a body of another length than the upstream's, where the head states the length in a way that
    // parsers understand differently.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: ",
                "Content-Length: +4",
                "Content-Length: -4",
                "Content-Length: 4 4",
                "Content-Length: 4, 4",
                "Content-Length: 4\r\nContent-Length: 4",
                "Content-Length: 4\r\n 2",
                "Content-Length: 0x4",
                "Content-Length: 4.0",
                "Content-Length: four",
                "Content-Length: \u00b2",
                "Content-Length: 4;q=1",
                "Content-Length: 99999999999999999999",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: ",
                "Transfer-Encoding: chunked, chunked",
                "Content-Length:\r\n\t4"
            })
    void ambiguousLengthSpoilsTheResponse(String framing) throws Exception {
        String chunks = "4\r\ndone\r\n0\r\n\r\n";
        assertNotPassedOn(
                "HTTP/1.1 200 OK\r\n" + FIELDS + framing + "\r\n\r\n" + (framing.contains("ing: ") ? chunks : "done"));
    }

    // Guards against the same in statuses that have no body, in interim responses, and in the version without chunks.
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 204 OK, Content-Length: 4",
        "HTTP/1.1 204 OK, Transfer-Encoding: chunked",
        "HTTP/1.0 200 OK, Transfer-Encoding: chunked",
        "'HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK', Content-Length: 4",
        "'HTTP/1.1 103 Hints\r\n Odd: 1\r\n\r\nHTTP/1.1 200 OK', Content-Length: 4",
        "'HTTP/1.1 103 Hints\r\n\r\n\r\nHTTP/1.1 200 OK', Content-Length: 4",
        "'HTTP/1.1 200 OK\r\nAttempt: a1', Content-Length: 4",
        "'HTTP/1.1 200 OK\r\nSignature: s1', Content-Length: 4"
    })
    void bodyThatDoesNotGoWithTheHeadSpoilsTheResponse(String start, String framing) throws Exception {
        String body = framing.endsWith("4") ? "done" : "4\r\ndone\r\n0\r\n\r\n";
        assertNotPassedOn(start + "\r\n" + FIELDS + framing + "\r\n\r\n" + body);
    }

    // Guards against the same within the framing of a body in chunks.
    @ParameterizedTest
    @ValueSource(
            strings = {
                " 4\r\ndone\r\n0\r\n\r\n", "4 \r\ndone\r\n0\r\n\r\n", "+4\r\ndone\r\n0\r\n\r\n",
                "0x4\r\ndone\r\n0\r\n\r\n", "4;\u0000\r\ndone\r\n0\r\n\r\n", "4\ndone\r\n0\r\n\r\n",
                "4\r\ndone\n0\r\n\r\n", "4\r\ndone0\r\n\r\n", "4\r\ndone\r\n0\r\n Odd: 1\r\n\r\n",
                "4\r\ndone\r\n0\r\nOdd : 1\r\n\r\n", "4\r\ndone\r\n0\r\nOdd\r\n\r\n", "4\r\ndone\r\n-0\r\n\r\n",
                "00000000000000004\r\ndone\r\n0\r\n\r\n", "4,\r\ndone\r\n0\r\n\r\n"
            })
    void malformedChunkSpoilsTheResponse(String body) throws Exception {
        String response = call("HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n" + body, "/once/x");
        assertThat(statusOf(response)).isEqualTo("502");
    }

    // Guards against a rule that refuses sound responses.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 200 \r\nContent-Length:4\r\n\r\ndone",
                "HTTP/1.1 200 J\u00f3\r\nContent-Length: \t04 \t\r\n\r\ndone",
                "HTTP/1.0 200 OK\r\n\r\ndone",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \u00ff \t x\r\nEmpty:\r\n\r\ndone",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n04;a=\"b\"\r\ndone\r\n00\r\nOdd: 1\r\n\r\n",
                "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + "Content-Length: 4\r\n\r\ndone"
            })
    void soundResponseIsPassedOn(String answer) throws Exception {
        int end = answer.indexOf("\r\n", answer.indexOf(" 200")) + 2;
        String response = call(answer.substring(0, end) + FIELDS + answer.substring(end), "/once/x");
        assertThat(statusOf(response)).isEqualTo("200");
        assertThat(response).endsWith("done");
    }

    // Guards against a part of a body that is taken for the whole one, because the upstream, which states no length,
    // answers a long request at once and resets its connection.
    @Test
    void answerThatIsResetBeforeTheRequestIsReadIsNotComplete() throws Exception {
        String response = upload("HTTP/1.1 200 OK\r\n" + FIELDS + "\r\n" + PART, true);
        assertThat(statusOf(response)).isEqualTo("502");
        assertThat(response).doesNotContain(PART);
    }

    // Guards against a rule that refuses an answer that states its length, which is complete before the request is
    // read.
    @Test
    void answerWithALengthIsCompleteBeforeTheRequestIsRead() throws Exception {
        String length = "Content-Length: " + PART.length() + "\r\n\r\n";
        String response = upload("HTTP/1.1 200 OK\r\n" + FIELDS + length + PART, false);
        assertThat(statusOf(response)).isEqualTo("200");
        assertThat(response).endsWith(PART);
    }

    private static String upload(String answer, boolean withReset) throws Exception {
        try (EarlyAnswer upstream = new EarlyAnswer(answer, withReset);
                EntryFixture entry = new EntryFixture();
                RawCaller caller = entry.caller()) {
            entry.addEntry("u9", upstream.port());
            String upload = request("POST", "/once/x", "a1", "x".repeat(UPLOAD_BYTES));
            return caller.send(upload.replace("\n\n", "\nConnection: close\n\n"))
                    .readAll();
        }
    }

    /** Answers each connection after its first bytes, and then resets or closes it without reading the rest. */
    private static final class EarlyAnswer implements AutoCloseable {
        private final ServerSocket listener;

        EarlyAnswer(String answer, boolean withReset) throws Exception {
            listener = new ServerSocket();
            listener.setReceiveBufferSize(2_048);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread thread = new Thread(() -> serve(answer, withReset), "early-answer");
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        private void serve(String answer, boolean withReset) {
            while (!listener.isClosed()) {
                try (Socket connection = listener.accept()) {
                    connection.getInputStream().read();
                    connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    if (withReset) {
                        reset(connection);
                    } else {
                        connection.shutdownOutput();
                        connection.getInputStream().transferTo(OutputStream.nullOutputStream());
                    }
                } catch (IOException e) {
                    // The connection or the listener was closed.
                }
            }
        }

        @Override
        public void close() throws Exception {
            listener.close();
        }
    }
}
