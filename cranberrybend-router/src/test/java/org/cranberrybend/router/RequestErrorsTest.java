package org.cranberrybend.router;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.router.RouterHarness.KEY;
import static org.cranberrybend.router.RouterHarness.request;

import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.EventCode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid requests get a specific error, are not executed, and errors contain no API key. */
class RequestErrorsTest {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MESSAGES = "'messages':[{'role':'user','content':'hi'}]";
    private static RouterHarness harness;
    private static FakeUpstream engine;

    @BeforeAll
    static void start() throws Exception {
        harness = new RouterHarness("http://127.0.0.1:9", ",'max_body_bytes':2000,'max_header_bytes':1024");
        engine = new FakeUpstream("engine-1");
        harness.process.setUpstreams(List.of(engine.upstream("model-a", "zone-a", "region-1", 2)));
    }

    @AfterAll
    static void stop() {
        harness.close();
        engine.close();
    }

    private static void assertRefused(String response, int status, String code) {
        assertThat(response).startsWith("HTTP/1.1 " + status + " ");
        assertThat(response).contains("\"code\":\"" + code + "\"");
        assertThat(response).contains("\"run_state\":\"not_run\"");
        assertThat(response).containsMatch("X-Request-Id: req-[0-9]+\r\n");
        assertThat(response).doesNotContain(KEY);
        assertThat(engine.received).isEmpty();
    }

    /** Guards against invalid bodies that use a slot before an engine rejects them, and against unspecific errors. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{                                                    | 400 | invalid_json  | line 1",
                "[]                                                   | 400 | invalid_json  | object",
                "{} x                                                 | 400 | invalid_json  | line 1",
                "{MESSAGES}                                           | 400 | invalid_field | Field model",
                "{'model':7,MESSAGES}                                 | 400 | invalid_field | Field model",
                "{'model':'model-x',MESSAGES}                         | 404 | model_unknown | model-x",
                "{'model':'model-closed',MESSAGES}                    | 404 | model_unknown | model-closed",
                "{'model':'a b<c>',MESSAGES}                          | 404 | model_unknown | ...",
                "{'model':'model-a'}                                  | 400 | invalid_field | Field messages",
                "{'model':'model-a','messages':[]}                    | 400 | invalid_field | Field messages",
                "{'model':'model-a','messages':['x']}                 | 400 | invalid_field | messages[0]",
                "{'model':'model-a','messages':[{'content':'x'}]}     | 400 | invalid_field | messages[0].role",
                "{'model':'model-a','messages':[{'role':'user','content':7}]} | 400 | invalid_field | content",
                "{'model':'model-a','stream':'yes',MESSAGES}          | 400 | invalid_field | Field stream",
                "{'model':'model-a','max_tokens':0,MESSAGES}          | 400 | invalid_field | 1 and 1000",
                "{'model':'model-a','max_tokens':1001,MESSAGES}       | 400 | invalid_field | 1 and 1000",
                "{'model':'model-a','max_tokens':1.5,MESSAGES}        | 400 | invalid_field | Field max_tokens",
                "{'model':'model-a','max_completion_tokens':'5',MESSAGES} | 400 | invalid_field | max_completion",
                "{'model':'model-a','temperature':3,MESSAGES}         | 400 | invalid_field | temperature",
                "{'model':'model-a','n':2,MESSAGES}                   | 400 | invalid_field | Field n"
            })
    void invalidBody(String body, int status, String code, String message) throws Exception {
        String json = body.replace("MESSAGES", MESSAGES).replace('\'', '"');
        String response = harness.send(request("POST", CHAT_PATH, "", json));
        assertRefused(response, status, code);
        assertThat(response).contains(message);
    }

    /** Guards against request smuggling by ambiguous framing, and against a hang or reset instead of an error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET /v1/chat/completions HTTP/1.1~AUTH~~                              | 405 | method_not_allowed",
                "POST /v1/models HTTP/1.1~AUTH~Content-Length: 0~~                     | 405 | method_not_allowed",
                "GET /nowhere HTTP/1.1~AUTH~~                                          | 404 | route_unknown",
                "GET /stock/../orders HTTP/1.1~AUTH~~                                  | 400 | invalid_field",
                "GET /stock/%2e%2e/orders HTTP/1.1~AUTH~~                              | 400 | invalid_field",
                "GET /closed HTTP/1.1~AUTH~~                                           | 403 | route_not_allowed",
                "DELETE /stock HTTP/1.1~AUTH~~                                         | 405 | method_not_allowed",
                "POST /v1/completions HTTP/1.1~AUTH~X-Request-Class: gold~Content-Length: 2~~{} | 403 | class_not_allowed",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: 2~Content-Length: 3~~{}     | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: 2~Transfer-Encoding: chunked~~0~~ | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Transfer-Encoding: gzip, chunked~~0~~       | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: -1~~                        | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: x~~                         | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Transfer-Encoding: chunked~~zz~~            | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Expect: magic~Content-Length: 2~~{}         | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: 2001~~                      | 413 | body_too_large",
                "POST /v1/completions HTTP/1.1~AUTH~Content-Length: 2001~Expect: 100-continue~~ | 413 | body_too_large",
                "GET /v1/models HTTP/1.1~AUTH~X-Long: LONG~~                                    | 431 | headers_too_large",
                "CONNECT stock:80 HTTP/1.1~Connection: close~~                                  | 404 | route_unknown",
                "OPTIONS * HTTP/1.1~~                                                           | 400 | invalid_field",
                "GET http://router/stock HTTP/1.1~Connection: close~~                           | 401 | key_missing",
                "nonsense~~                                                                     | 400 | invalid_header",
                "POST /v1/completions HTTP/1.1~Content-Length: 2~~{}                            | 401 | key_missing",
                "GET /v1/models HTTP/1.1~Connection: close~Authorization: Bearer wrong~~                          | 401 | key_unknown",
                "GET /v1/models HTTP/1.1~Connection: close~Authorization: Bearer cbk_clerk1_guess~~               | 401 | key_unknown"
            })
    void invalidRequest(String text, int status, String code) throws Exception {
        String raw = text.replace("AUTH", "Authorization: Bearer " + KEY + "~Connection: close")
                .replace("LONG", "x".repeat(3_000))
                .replace("~", "\r\n");
        assertRefused(harness.send(raw), status, code);
    }

    /** Guards against a chunked body, which has no declared length, that exceeds the limit. */
    @Test
    void chunkedBodyAboveTheLimit() throws Exception {
        String head = "POST " + CHAT_PATH + " HTTP/1.1\r\nAuthorization: Bearer " + KEY
                + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertRefused(harness.send(head + "7d1\r\n" + "x".repeat(2_001) + "\r\n0\r\n\r\n"), 413, "body_too_large");
    }

    /** Guards against a caller that occupies a thread by not completing its headers or body. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /v1/mod", "POST /v1/completions HTTP/1.1\r\nAUTH\r\nContent-Length: 50\r\n\r\n{"})
    void slowSender(String part) throws Exception {
        try (RouterHarness shortTimeout = new RouterHarness("http://127.0.0.1:9", ",'receive_timeout_ms':300")) {
            String response = shortTimeout.send(part.replace("AUTH", "Authorization: Bearer " + KEY));
            assertRefused(response, 408, "request_timeout");
        }
    }

    /** Guards against a caller that occupies a thread by sending one byte within each read timeout. */
    @Test
    void oneByteAtATimeSender() throws Exception {
        try (RouterHarness shortTimeout = new RouterHarness("http://127.0.0.1:9", ",'receive_timeout_ms':500");
                Socket socket = shortTimeout.connect()) {
            socket.getOutputStream().write("GET /v1/models HTTP/1.1\r\nX-Slow: ".getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(100);
            boolean responded = false;
            for (int i = 0; i < 200 && !responded; i++) {
                try {
                    responded = socket.getInputStream().read() == 'H';
                } catch (SocketTimeoutException expected) {
                    socket.getOutputStream().write('x');
                }
            }
            assertThat(responded).isTrue();
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .startsWith("TTP/1.1 408");
        }
    }

    /** Guards against a caller that waits for 100 Continue without receiving it. */
    @Test
    void expectContinueGetsInterimResponse() throws Exception {
        try (Socket socket = harness.connect()) {
            socket.getOutputStream()
                    .write(("POST /v1/completions HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer " + KEY
                                    + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] interim = socket.getInputStream().readNBytes("HTTP/1.1 100".length());
            assertThat(new String(interim, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 100");
            socket.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .contains("invalid_field");
        }
    }

    /** Guards against more connections than allowed. */
    @Test
    void connectionsAreBounded() throws Exception {
        try (RouterHarness small = new RouterHarness("http://127.0.0.1:9", ",'max_connections':1");
                Socket first = small.connect()) {
            first.getOutputStream().write(modelsRequest());
            assertThat(first.getInputStream().read()).isEqualTo('H');
            assertThat(small.send("")).startsWith("HTTP/1.1 429");
        }
    }

    private static byte[] modelsRequest() {
        return ("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer " + KEY + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Guards against serving a revoked key, an unconfigured instance or a stale configuration. */
    @Test
    void keysAndConfigurationAreChecked() throws Exception {
        try (RouterHarness other = new RouterHarness();
                Socket idle = other.connect()) {
            String models = request("GET", "/v1/models", "", "");
            assertThat(other.send(models)).contains("{\"data\":[{\"id\":\"model-a\",\"object\":\"model\"}]");
            other.process.ageMs = 100_001;
            assertRefused(other.send(models), 503, "configuration_stale");
            other.process.ageMs = 0;
            idle.getOutputStream().write(modelsRequest());
            assertThat(idle.getInputStream().read()).isEqualTo('H');
            other.process.revoke(RevocationSet.EMPTY.with("clerk1"));
            assertRefused(other.send(models), 401, "key_revoked");
            // The idle connection of the revoked key is closed.
            RouterHarness.await(() -> other.router.connectionCount() == 0);
        }
    }

    /** Guards against accepting a key that was revoked while the process was paused. */
    @Test
    void requestWaitsUntilThePausedRouterHasCaughtUp() throws Exception {
        try (RouterHarness other = new RouterHarness()) {
            AtomicInteger checks = new AtomicInteger();
            other.process.catchingUp = () -> {
                if (checks.getAndIncrement() == 0) {
                    other.process.revoke(RevocationSet.EMPTY.with("clerk1"));
                    return true;
                }
                return false;
            };
            assertRefused(other.send(request("GET", "/v1/models", "", "")), 401, "key_revoked");
        }
    }

    /** Guards against an account that exceeds its concurrent requests or its tokens per minute. */
    @Test
    void accountLimitsAreEnforced() throws Exception {
        try (RouterHarness other = new RouterHarness();
                FakeUpstream held = new FakeUpstream("engine-2")) {
            other.process.setUpstreams(List.of(held.upstream("model-a", "zone-a", "region-1", 2)));
            String key = KeyHasher.keyText("small", "secretOfSmall");
            other.process.set(
                    EntityKind.TEMPLATE,
                    "small",
                    "{'request_classes':[{'name':'quick','tier':0,'first_token_target_ms':850,"
                            + "'inter_token_target_ms':44,'guaranteed_share_ratio':0}],'models':['model-a'],'routes':[],"
                            + "'max_concurrent_requests':1,'tokens_per_minute':20,'weight_ratio':1,"
                            + "'cut_off_serve_seconds':100}");
            other.process.set(
                    EntityKind.ACCOUNT,
                    "small",
                    "{'template':'small','keys':[{'key_id':'small','digest_hex':'"
                            + new KeyHasher(RouterHarness.SECRET).digestHex(key) + "','revoked':false}]}");
            String chat = request("POST", CHAT_PATH, "", RouterHarness.CHAT).replace(KEY, key);
            held.hold = new CountDownLatch(1);
            try (Socket running = other.connect()) {
                running.getOutputStream().write(chat.getBytes(StandardCharsets.UTF_8));
                other.awaitEvent("req-1", EventCode.REQUEST_DISPATCHED);
                assertThat(other.send(chat)).contains("1 concurrent requests");
                held.hold.countDown();
                assertThat(new String(running.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                        .contains("[DONE]");
            }
            String limited = other.send(chat);
            assertThat(limited).startsWith("HTTP/1.1 429");
            assertThat(limited).contains("20 tokens per minute");
            assertThat(limited).containsMatch("Retry-After: [0-9]+");
        }
    }
}
