package org.cranberrybend.standins.service;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the counters that at-most-once tests depend on: an execution counts exactly when its effect happened. */
class PlainServiceTest {
    private final BlockingHttpClient caller = new BlockingHttpClient(1_000, 5_000);
    private final CountDownLatch crashed = new CountDownLatch(1);
    private PlainService service;

    @BeforeEach
    void start() throws Exception {
        service = new PlainService(
                new SettingsLoader<>(ServiceSettings.class, "service-settings.schema.json")
                        .parse("{\"id\":\"p-1\",\"service\":\"print\",\"host\":\"127.0.0.1\",\"port\":0}"),
                crashed::countDown);
        service.start();
    }

    @AfterEach
    void stop() {
        caller.close();
        service.stop();
    }

    private HttpResult send(String method, String path, String body) throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + service.port() + path);
        byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
        return caller.call(method, uri, Map.of("X-Request-Id", "r-1"), bytes);
    }

    /** Returns the status, or 0 if no complete response arrived. */
    private int statusOf(String body) {
        try {
            return send("POST", "/print/orders?copies=1", body).status();
        } catch (IOException e) {
            return 0;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ok,0,200,1",
        "slow,10,200,1",
        "refuse,-1,503,0",
        "leaving,-1,503,0",
        "lose_reply,-1,0,1",
        "cut_after_tokens,3,0,1",
    })
    void countsExecutionsWithLostResponses(String mode, long value, int status, long runs) throws Exception {
        send("POST", "/fault", "{\"mode\":\"" + mode + "\",\"value\":" + value + "}");
        assertThat(statusOf("{\"seat\":12}")).isEqualTo(status);
        JsonNode counters = send("GET", "/counters", null).json();
        assertThat(counters.path("runs").asLong()).isEqualTo(runs);
        assertThat(counters.path("runs_by_request_id").path("r-1").asLong()).isEqualTo(runs);
        assertThat(counters.path("runs_by_body_digest").size()).isEqualTo((int) runs);
        JsonNode received = send("GET", "/requests", null).json().path(0);
        assertThat(received.path("target").asText()).isEqualTo("/print/orders?copies=1");
        assertThat(received.path("body").asText()).isEqualTo("{\"seat\":12}");
    }

    @Test
    void faultEndsAfterItsRequestLimit() throws Exception {
        send("POST", "/fault", "{\"mode\":\"refuse\",\"value\":1}");
        assertThat(statusOf("{}")).isEqualTo(503);
        assertThat(statusOf("{}")).isEqualTo(200);
    }

    @Test
    void crashFaultIsAcknowledgedFirst() throws Exception {
        assertThat(send("POST", "/fault", "{\"mode\":\"crash\"}").status()).isEqualTo(200);
        assertThat(crashed.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void recordsTrailersAndRepeatedHeaders() throws Exception {
        String request = "POST /print HTTP/1.1\r\nHost: s\r\nX-Api-Key: one\r\nX-Api-Key: two\r\n"
                + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: three\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", service.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .startsWith("HTTP/1.1 200");
        }
        String received = send("GET", "/requests", null).text();
        for (String value : new String[] {"one", "two", "three"}) {
            assertThat(received).contains("\"value\":\"" + value + "\"");
        }
    }
}
