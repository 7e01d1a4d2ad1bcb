package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ReferenceFraming.Message;
import org.cranberrybend.entry.log.DecisionLog;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against mutated framing that makes one request appear as another one, raises an unexpected exception, or leaves
 * memory reserved. {@code -Dfuzz.cases=100000} runs more cases.
 */
class RequestFramingFuzzTest {
    private static final int CASES = Integer.getInteger("fuzz.cases", 4_000);
    private static final List<String> INSERTIONS = List.of(
            "\r\n",
            "\n",
            "\r",
            "0",
            "-",
            "+",
            " ",
            "\t",
            ";",
            ":",
            "0\r\n\r\n",
            "\r\n\r\n",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "ffffffffffffffff",
            "\0",
            "\u00ff",
            "x",
            "GET /other HTTP/1.1\r\n\r\n");

    private final MessageMemoryLimit memory = new MessageMemoryLimit(60_000);
    private final HttpServer server = new HttpServer(
            null,
            TimeSource.system(),
            (request, exchange) -> {},
            () -> new ServerLimits(2_000, 4_000, 60_000, 60_000),
            memory,
            new DecisionLog("instance", 1, TimeSource.system(), OutputStream.nullOutputStream()));

    @ParameterizedTest
    @ValueSource(longs = {1, 35, 260_001})
    void noRequestIsTakenForAnotherOne(long seed) {
        System.out.println("seed " + seed + ", " + CASES + " cases");
        Random random = new Random(seed);
        for (int number = 0; number < CASES; number++) {
            byte[] sound = messages(random);
            byte[] input = sound;
            for (int mutations = random.nextInt(4); mutations > 0; mutations--) {
                input = MutatedInput.of(input, INSERTIONS, random);
            }
            String text =
                    "seed " + seed + ", case " + number + ", input:\n" + new String(input, StandardCharsets.ISO_8859_1);
            List<Message> expected = ReferenceFraming.messages(input);
            List<Message> received = received(input, random);
            assertWithMessage(text).that(received.size()).isAtMost(expected.size());
            assertWithMessage(text).that(received).isEqualTo(expected.subList(0, received.size()));
            if (input == sound) {
                assertWithMessage(text).that(received).isEqualTo(expected);
            }
            assertWithMessage(text).that(memory.usedBytes()).isEqualTo(0);
        }
    }

    private static byte[] messages(Random random) {
        StringBuilder text = new StringBuilder();
        for (int count = 1 + random.nextInt(4); count > 0; count--) {
            String id = Integer.toHexString(random.nextInt());
            text.append("POST /")
                    .append(id)
                    .append(" HTTP/1.1\r\nHost: h\r\nX-Id: ")
                    .append(id)
                    .append("\r\n");
            String body = (id + ",").repeat(random.nextInt(6));
            if (random.nextBoolean()) {
                text.append("Content-Length: ")
                        .append(body.length())
                        .append("\r\n\r\n")
                        .append(body);
                continue;
            }
            text.append("Transfer-Encoding: chunked\r\n\r\n");
            for (int start = 0; start < body.length(); ) {
                int end = Math.min(body.length(), start + 1 + random.nextInt(20));
                text.append(Integer.toHexString(end - start)).append(random.nextBoolean() ? ";a=b\r\n" : "\r\n");
                text.append(body, start, end).append("\r\n");
                start = end;
            }
            text.append(random.nextBoolean() ? "0\r\n\r\n" : "0\r\nX-Sum: 1\r\n\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the requests that are received if the input arrives in pieces of random lengths. */
    private List<Message> received(byte[] input, Random random) {
        List<Message> received = new ArrayList<>();
        ConnectionMemory connectionMemory = new ConnectionMemory(server, null);
        RequestReceiver receiver = new RequestReceiver(server, connectionMemory);
        try {
            for (int start = 0; start < input.length; ) {
                int length = Math.min(input.length - start, 1 + random.nextInt(random.nextBoolean() ? 4 : 400));
                if (!receiver.append(Unpooled.wrappedBuffer(input, start, length))) {
                    break;
                }
                start += length;
                while (advance(receiver, received)) {
                    // Each request is taken before the next one is received.
                }
            }
        } catch (HttpException | IOException | RequestRefusedException e) {
            // The connection is closed after a refusal.
        }
        receiver.release();
        receiver.discardInput();
        connectionMemory.releaseAll();
        return received;
    }

    private static boolean advance(RequestReceiver receiver, List<Message> received)
            throws HttpException, IOException, RequestRefusedException {
        boolean advanced = receiver.advance();
        if (receiver.stage() != RequestReceiver.Stage.COMPLETE) {
            return advanced;
        }
        ReceivedRequest request = receiver.take();
        received.add(Message.of(id(request), new String(request.body(), StandardCharsets.ISO_8859_1)));
        receiver.release();
        return true;
    }

    private static String id(ReceivedRequest request) {
        for (Header header : request.head().getHeaders("X-Id")) {
            if (header.getValue() != null && !header.getValue().isEmpty()) {
                return header.getValue();
            }
        }
        return "";
    }
}
