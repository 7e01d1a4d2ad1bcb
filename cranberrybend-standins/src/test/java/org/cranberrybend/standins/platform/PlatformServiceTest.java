package org.cranberrybend.standins.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.platform.KeyValueClient;
import org.cranberrybend.runtime.platform.VersionedValue;
import org.cranberrybend.runtime.settings.SettingsException;
import org.cranberrybend.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the platform interfaces that the daemons use, and the faults that tests inject. */
class PlatformServiceTest {
    private static final String SETTINGS =
            """
            {"host":"127.0.0.1","port":0,"kv_writes_per_second":20,"instances_lag_ms":1000,"stop_grace_ms":5000,
             "instances":[{"id":"a-1","role":"entry","zone":"szeged-a","region":"alfold","host":"127.0.0.1","port":1}],
             "spares":[{"id":"s-1","role":"upstream","kind":"engine","zone":"szeged-a","region":"alfold",
                        "host":"127.0.0.1","port":2,"models":["m"],"market":"guaranteed"}]}
            """;

    private final ManualTimeSource time = new ManualTimeSource(1_000_000);
    private final BlockingHttpClient caller = new BlockingHttpClient(1_000, 10_000);
    private PlatformService platform;
    private KeyValueClient keyValue;

    @BeforeEach
    void start() throws Exception {
        platform = new PlatformService(loader().parse(SETTINGS), time);
        platform.start();
        keyValue = new KeyValueClient(uri(""));
    }

    @AfterEach
    void stop() {
        keyValue.close();
        caller.close();
        platform.stop();
    }

    private static SettingsLoader<PlatformSettings> loader() {
        return new SettingsLoader<>(PlatformSettings.class, "platform-settings.schema.json");
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + platform.port() + path);
    }

    private HttpResult send(String method, String path, String body) throws IOException {
        byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
        return caller.call(method, uri(path), Map.of(), bytes);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void writeNeedsCurrentRevision() throws Exception {
        long first = keyValue.compareAndSwap("config/head", 0, bytes("one")).getAsLong();
        assertThat(keyValue.compareAndSwap("config/head", 0, bytes("two")).isPresent())
                .isFalse();
        long second =
                keyValue.compareAndSwap("config/head", first, bytes("three")).getAsLong();
        assertThat(second).isGreaterThan(first);
        assertThat(keyValue.get("config/head").value()).isEqualTo(bytes("three"));
        assertThat(keyValue.list("config/")).hasSize(1);
        assertThat(keyValue.compareAndDelete("config/head", second)).isTrue();
        assertThat(keyValue.get("config/head").exists()).isFalse();
    }

    @Test
    void watchReturnsWhenKeyIsWritten() throws Exception {
        CompletableFuture<Optional<VersionedValue>> watch = CompletableFuture.supplyAsync(() -> {
            try {
                return keyValue.watch("k", 0, 10_000);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        long revision = keyValue.compareAndSwap("k", 0, bytes("v")).getAsLong();
        assertThat(watch.get(10, TimeUnit.SECONDS).orElseThrow().revision()).isEqualTo(revision);
        assertThat(keyValue.watch("k", revision, 1)).isEqualTo(Optional.empty());
    }

    @Test
    void rejectsWritesAboveRateOrSizeLimit() throws Exception {
        assertThat(send("PUT", "/v1/kv/big", "x".repeat((1 << 20) + 1)).status())
                .isEqualTo(413);
        for (int i = 1; i < 20; i++) {
            assertThat(send("PUT", "/v1/kv/small", "{}").status()).isEqualTo(200);
        }
        assertThat(send("PUT", "/v1/kv/small", "{}").status()).isEqualTo(429);
        time.advanceMs(50);
        assertThat(send("PUT", "/v1/kv/small", "{}").status()).isEqualTo(200);
        JsonNode counters = send("GET", "/counters", null).json();
        assertThat(counters.path("kv_put").asLong()).isEqualTo(22);
        assertThat(counters.path("rate_limited").asLong()).isEqualTo(1);
    }

    @Test
    void restoreReturnsOldRevisions() throws Exception {
        long first = keyValue.compareAndSwap("k", 0, bytes("one")).getAsLong();
        send("POST", "/fault/snapshot", null);
        keyValue.compareAndSwap("k", first, bytes("two"));
        assertThat(send("POST", "/fault", "{\"target\":\"kv\",\"mode\":\"older\"}")
                        .status())
                .isEqualTo(200);
        assertThat(keyValue.get("k").revision()).isEqualTo(first);
        assertThat(keyValue.get("k").value()).isEqualTo(bytes("one"));
    }

    @Test
    void leaseIsExclusiveAndFencingNumberGrows() throws Exception {
        String path = "/v1/leases/lease/orders/szeged-a";
        JsonNode first =
                send("POST", path, "{\"holder\":\"a\",\"ttl_ms\":1000}").json();
        assertThat(send("POST", path, "{\"holder\":\"a\",\"ttl_ms\":1000}").status())
                .isEqualTo(409);
        String renewal = "{\"lease_id\":\"" + first.path("lease_id").asText() + "\"}";
        time.advanceMs(900);
        assertThat(send("POST", path + "/renew", renewal).status()).isEqualTo(200);
        time.advanceMs(1_000);
        assertThat(send("POST", path + "/renew", renewal).status()).isEqualTo(404);
        JsonNode second =
                send("POST", path, "{\"holder\":\"b\",\"ttl_ms\":1000}").json();
        assertThat(second.path("fencing_number").asLong())
                .isGreaterThan(first.path("fencing_number").asLong());
    }

    @Test
    void orderWithLostResponseTakesEffect() throws Exception {
        String path = "/v1/zones/szeged-a/orders";
        String order = "{\"order_id\":\"o-1\",\"fencing_number\":1,\"action\":\"start\",\"model\":\"m\"}";
        send("POST", "/fault", "{\"target\":\"orders\",\"mode\":\"lose_reply\",\"count\":1}");
        assertThrows(IOException.class, () -> send("POST", path, order));
        assertThat(send("POST", path, order).json().path("state").asText()).isEqualTo("unavailable");
        JsonNode received = send("GET", path, null).json();
        assertThat(received.size()).isEqualTo(2);
        assertThat(received.path(0).path("upstream_id").asText()).isEqualTo("s-1");
        assertThat(listedIds()).isEqualTo("a-1 ");
        time.advanceMs(1_000);
        assertThat(listedIds()).isEqualTo("a-1 s-1 ");
    }

    @Test
    void instanceListChangesAreVisibleAfterLag() throws Exception {
        send("POST", "/instances/a-1", "{\"state\":\"leaving\"}");
        assertThat(send("GET", "/v1/instances", null).text()).contains("\"state\":\"live\"");
        time.advanceMs(1_000);
        assertThat(send("GET", "/v1/instances", null).text()).contains("\"state\":\"leaving\"");
        send("DELETE", "/instances/a-1", null);
        time.advanceMs(1_000);
        assertThat(listedIds()).isEmpty();
    }

    private String listedIds() throws IOException {
        StringBuilder ids = new StringBuilder();
        send("GET", "/v1/instances", null)
                .json()
                .forEach(each -> ids.append(each.path("id").asText()).append(' '));
        return ids.toString();
    }

    @ParameterizedTest
    @CsvSource({"kv,/v1/kv/k", "orders,/v1/zones/z/orders", "reports,/v1/usage-reports", "instances,/v1/instances"})
    void faultAffectsItsTargetOnly(String target, String path) throws Exception {
        send("POST", "/fault", "{\"target\":\"" + target + "\",\"mode\":\"down\"}");
        assertThrows(IOException.class, () -> send("GET", path, null));
        String other = target.equals("orders") ? "/v1/instances" : "/v1/zones/z/orders";
        assertThat(send("GET", other, null).status()).isEqualTo(200);
        send("POST", "/fault", "{\"target\":\"" + target + "\",\"mode\":\"ok\"}");
        assertThat(send("GET", path, null).status()).isAnyOf(200, 404);
    }

    @Test
    void rejectsUnknownSettings() {
        assertThrows(SettingsException.class, () -> loader().parse("{\"host\":\"127.0.0.1\",\"port\":0,\"ports\":1}"));
    }
}
