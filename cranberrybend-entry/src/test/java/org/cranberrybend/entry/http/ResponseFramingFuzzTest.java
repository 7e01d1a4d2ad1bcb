package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a corrupted response that is taken for a complete one, with other fields or another body than it has.
 * {@code -Dfuzz.cases=100000} runs more cases.
 */
class ResponseFramingFuzzTest {
    private static final int CASES = Integer.getInteger("fuzz.cases", 4_000);
    private static final List<String> INSERTIONS = List.of(
            "\r\n",
            "\n",
            "\r",
            "0",
            "4",
            "-",
            "+",
            " ",
            "\t",
            ";",
            ":",
            ",",
            "\0",
            "\u007f",
            "\u00ff",
            "x",
            "\r\n ",
            "0\r\n\r\n",
            "\r\n\r\n",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 103 Hints\r\n\r\n",
            "ffffffffffffffff");

    private final MessageMemoryLimit memory = new MessageMemoryLimit(1_000_000);

    /** Records one response. */
    private static final class Recorder implements ClientConnection.ResponseListener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private HttpResponse head;
        private boolean complete;
        private boolean failed;

        @Override
        public void onHead(HttpResponse received) {
            head = received;
        }

        @Override
        public void onBody(ByteBuffer piece) {
            body.write(piece.array(), piece.position(), piece.remaining());
        }

        @Override
        public int keptBytes() {
            return body.size();
        }

        @Override
        public void onComplete() {
            complete = true;
        }

        @Override
        public void onFailure(String cause, boolean responseStarted) {
            failed = true;
        }

        private Optional<ReferenceResponse> received() {
            if (!complete) {
                return Optional.empty();
            }
            StringBuilder fields = new StringBuilder();
            for (Header header : head.getHeaders()) {
                fields.append(header.getName())
                        .append('=')
                        .append(header.getValue())
                        .append('\n');
            }
            String text = body.toString(StandardCharsets.ISO_8859_1);
            return Optional.of(new ReferenceResponse(head.getCode(), fields.toString(), text));
        }
    }

    /** Keeps the requests from being written. */
    private static final class HoldWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ((io.netty.buffer.ByteBuf) message).release();
        }
    }

    private Recorder receive(byte[] input, Random random) {
        Recorder recorder = new Recorder();
        ClientConnection connection = new ClientConnection(memory, () -> {});
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        connection.send("GET", "/", List.of(), new byte[0], recorder);
        int position = 0;
        while (position < input.length && channel.isOpen()) {
            int count = Math.min(input.length - position, 1 + random.nextInt(40));
            channel.writeInbound(Unpooled.wrappedBuffer(input, position, count));
            position += count;
        }
        channel.finishAndReleaseAll();
        return recorder;
    }

    private static byte[] sound(Random random) {
        String body = "x".repeat(random.nextInt(30));
        String head = random.nextInt(4) == 0 ? "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" : "";
        head += "HTTP/1.1 "
                + List.of("200 OK", "200", "404 Not Found", "503 Busy").get(random.nextInt(4)) + "\r\n";
        head += random.nextBoolean() ? "Odd:  a b \r\n" : "Empty:\r\n";
        int kind = random.nextInt(3);
        if (kind == 0) {
            head += "Content-Length: " + body.length() + "\r\n\r\n" + body;
        } else if (kind == 1) {
            String chunk = body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
            head += "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n" + (random.nextBoolean() ? "T: 1\r\n" : "")
                    + "\r\n";
        } else {
            head += "\r\n" + body;
        }
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 48, 820_801})
    void responseIsTakenAsItIsOrNotAtAll(long seed) {
        System.out.println("seed " + seed + ", " + CASES + " cases");
        Random random = new Random(seed);
        int complete = 0;
        for (int number = 0; number < CASES; number++) {
            byte[] sound = sound(random);
            byte[] input = sound;
            for (int mutations = random.nextInt(4); mutations > 0; mutations--) {
                input = MutatedInput.of(input, INSERTIONS, random);
            }
            Recorder recorder = receive(input, random);
            String text = "seed " + seed + ", case " + number + ", input:\n"
                    + new String(input, StandardCharsets.ISO_8859_1).replace("\r", "\\r");
            Optional<ReferenceResponse> expected = ReferenceResponse.first(input);
            if (recorder.complete) {
                assertWithMessage(text).that(recorder.received()).isEqualTo(expected);
                complete++;
            }
            if (Arrays.equals(input, sound)) {
                assertWithMessage(text).that(recorder.received()).isEqualTo(expected);
                assertWithMessage(text).that(recorder.complete).isTrue();
            }
            assertWithMessage(text).that(recorder.complete).isNotEqualTo(recorder.failed);
            assertWithMessage(text).that(memory.usedBytes()).isEqualTo(0);
        }
        assertThat(complete).isAtLeast(CASES / 4);
    }

    // Guards against a part of a body that is taken for the whole one, because a response without a length ends
    // while the request is still being written: after a write that fails, the reset of a connection looks like its
    // regular end.
    @ParameterizedTest
    @CsvSource({"'', false", "'Content-Length: 4\r\n', true", "'Content-Length: 5\r\n', false"})
    void endBeforeTheRequestIsWrittenIsNoEndOfTheResponse(String framing, boolean expectedComplete) {
        Recorder recorder = new Recorder();
        ClientConnection connection = new ClientConnection(memory, () -> {});
        EmbeddedChannel channel = new EmbeddedChannel(new HoldWrites(), connection);
        connection.send("POST", "/", List.of(), new byte[100_000], recorder);
        byte[] answer = ("HTTP/1.1 200 OK\r\n" + framing + "\r\npart").getBytes(StandardCharsets.ISO_8859_1);
        channel.writeInbound(Unpooled.wrappedBuffer(answer));
        channel.finishAndReleaseAll();
        assertThat(recorder.complete).isEqualTo(expectedComplete);
        assertThat(recorder.failed).isEqualTo(!expectedComplete);
    }
}
