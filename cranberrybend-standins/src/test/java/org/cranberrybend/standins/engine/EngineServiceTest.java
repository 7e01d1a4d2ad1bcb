package org.cranberrybend.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the engine protocol that router tests depend on: exact resumption, injected faults and release of slots. */
@Timeout(60)
class EngineServiceTest {
    private static final String SETTINGS =
            """
            {"id":"e-1","host":"127.0.0.1","port":0,"slots":1,"prefill_tokens_per_s":100000,"decode_ms_per_token":0.5,
             "load_lag_ms":0,"checks_fencing":true}
            """;

    private final BlockingHttpClient caller = new BlockingHttpClient(1_000, 20_000);
    private EngineService engine;

    @BeforeEach
    void start() throws Exception {
        EngineSettings settings =
                new SettingsLoader<>(EngineSettings.class, "engine-settings.schema.json").parse(SETTINGS);
        engine = new EngineService(settings, TimeSource.system(), () -> engine.stop());
        engine.start();
    }

    @AfterEach
    void stop() {
        caller.close();
        engine.stop();
    }

    private HttpResult send(String method, String path, String body) throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + engine.port() + path);
        byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
        return caller.call(method, uri, Map.of("X-Request-Id", "r-1"), bytes);
    }

    private static String chat(String prompt, boolean stream, String more) {
        return "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}],\"stream\":" + stream
                + more + "}";
    }

    private static String streamedText(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonNode event = CanonicalJson.mapper().readTree(line.substring("data: ".length()));
                text.append(event.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return text.toString();
    }

    private void await(String path, Predicate<JsonNode> condition) throws IOException {
        while (!condition.test(send("GET", path, null).json())) {
            Thread.onSpinWait();
        }
    }

    private void setFault(String mode, long value) throws IOException {
        HttpResult result = send("POST", "/fault", "{\"mode\":\"" + mode + "\",\"value\":" + value + "}");
        assertThat(result.status()).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 20, 25})
    void resumedStreamContinuesText(int resumeFrom) throws Exception {
        HttpResult whole = send("POST", "/v1/chat/completions", chat("két jegy", false, ",\"max_tokens\":20"));
        assertThat(whole.header("x-request-id").orElseThrow()).isEqualTo("r-1");
        String wholeText = whole.json()
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
        String more = ",\"max_completion_tokens\":20,\"resume_from\":" + resumeFrom;
        String events = send("POST", "/v1/chat/completions", chat("két jegy", true, more))
                .text();
        int skipped = 0;
        for (int i = 0; i < Math.min(resumeFrom, 20); i++) {
            skipped = wholeText.indexOf(' ', skipped + 1);
        }
        assertThat(streamedText(events)).isEqualTo(skipped < 0 ? "" : wholeText.substring(skipped));
        assertThat(events).contains("\"completion_tokens\":20");
        assertThat(events).endsWith("data: [DONE]\n\n");
    }

    @ParameterizedTest
    @CsvSource({"refuse,false", "leaving,true"})
    void rejectionStatesThatRequestWasNotExecuted(String mode, boolean leaving) throws Exception {
        setFault(mode, -1);
        HttpResult result = send("POST", "/v1/chat/completions", chat("a", true, ""));
        assertThat(result.status()).isEqualTo(503);
        assertThat(result.header("x-not-run").orElse("")).isEqualTo("true");
        assertThat(result.header("x-leaving").isPresent()).isEqualTo(leaving);
        assertThat(send("GET", "/counters", null)
                        .json()
                        .path("tokens_generated")
                        .asLong())
                .isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"cut_after_tokens,5,5", "lose_reply,1,20"})
    void faultNeverCompletesLostResponse(String mode, long value, long generated) throws Exception {
        setFault(mode, value);
        String body = chat("a", true, ",\"max_tokens\":20");
        assertThrows(IOException.class, () -> send("POST", "/v1/chat/completions", body));
        assertThat(send("GET", "/counters", null)
                        .json()
                        .path("tokens_generated")
                        .asLong())
                .isEqualTo(generated);
    }

    @Test
    void disconnectReleasesSlot() throws Exception {
        String body = chat("a", false, ",\"max_tokens\":1000000");
        try (Socket socket = new Socket("127.0.0.1", engine.port())) {
            socket.getOutputStream().write(rawRequest(body));
            await("/load", load -> load.path("running").asInt() == 1);
            // Tokens count as wasted only if the caller disconnects after the first token.
            await("/counters", counters -> counters.path("tokens_generated").asLong() > 0);
        }
        await("/load", load -> load.path("running").asInt() == 0);
        await("/counters", counters -> counters.path("tokens_wasted").asLong() > 0);
        assertThat(engine.received().get(0).target()).isEqualTo("/v1/chat/completions?x=1");
    }

    @Test
    void higherTierIsScheduledFirst() throws Exception {
        setFault("slow", 100_000);
        CompletableFuture<Void> first = sendAsync("first", 3);
        await("/load", load -> load.path("running").asInt() == 1);
        CompletableFuture<Void> low = sendAsync("low", 3);
        await("/load", load -> load.path("waiting").asInt() == 1);
        CompletableFuture<Void> high = sendAsync("high", 0);
        await("/load", load -> load.path("waiting").asInt() == 2);
        assertThat(send("POST", "/cancel/first", null).status()).isEqualTo(200);
        await("/load", load -> load.path("waiting").asInt() == 1);
        assertThat(send("POST", "/cancel/high", null).status()).isEqualTo(200);
        await("/load", load -> load.path("waiting").asInt() == 0);
        assertThat(low.isDone()).isFalse();
        assertThat(send("POST", "/cancel/low", null).status()).isEqualTo(200);
        CompletableFuture.allOf(first, low, high).join();
    }

    /** Sends a request and expects the engine to close the connection when the request is cancelled. */
    private CompletableFuture<Void> sendAsync(String requestId, int priority) {
        URI uri = URI.create("http://127.0.0.1:" + engine.port() + "/v1/chat/completions");
        byte[] body = chat("a", true, ",\"priority\":" + priority).getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = Map.of("X-Request-Id", requestId);
        return CompletableFuture.runAsync(
                () -> assertThrows(IOException.class, () -> caller.call("POST", uri, headers, body)));
    }

    @Test
    void stallAffectsOpenConnectionsOnly() throws Exception {
        String body = chat("a", true, ",\"max_tokens\":1000000");
        try (Socket old = new Socket("127.0.0.1", engine.port());
                BlockingHttpClient fresh = new BlockingHttpClient(1_000, 20_000)) {
            old.getOutputStream().write(rawRequest(body));
            await("/load", load -> load.path("running").asInt() == 1);
            // Tokens are interrupted only if the connection stalls after the first one.
            await("/counters", counters -> counters.path("tokens_generated").asLong() > 0);
            setFault("stall", -1);
            setFault("ok", -1);
            URI load = URI.create("http://127.0.0.1:" + engine.port() + "/load");
            assertThat(fresh.get(load).json().path("running").asInt()).isEqualTo(1);
        }
        await("/counters", counters -> counters.path("tokens_interrupted").asLong() > 0);
        assertThat(send("GET", "/counters", null).json().path("tokens_wasted").asLong())
                .isEqualTo(0);
    }

    private static byte[] rawRequest(String body) {
        String head = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: e\r\nContent-Length: " + body.length();
        return (head + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void rejectsOrderWithStaleFencingNumber() throws Exception {
        assertThat(send("POST", "/orders", "{\"fencing_number\":5,\"action\":\"load\"}")
                        .status())
                .isEqualTo(200);
        assertThat(send("POST", "/orders", "{\"fencing_number\":4,\"action\":\"load\"}")
                        .status())
                .isEqualTo(409);
    }
}
