package org.cranberrybend.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.EntryFixture.request;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.Decoder;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.port.UpstreamOrders;
import org.cranberrybend.entry.port.UsageReports;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.junit.jupiter.api.Test;

class EntryServiceTest {
    private static final StoreKeys KEYS =
            new StoreKeys("operator/", "operator/configuration", "operator/evacuate/", "upstreams/");
    private static final String COUNTS = "cranberrybend/usage/counts/";

    private final MemoryStore store = new MemoryStore(TimeSource.system());

    /** A platform that consists of the store in memory and assigns no duties. */
    private final EntryPorts ports = new EntryPorts() {
        @Override
        public HeaderNames headerNames() {
            return EntryFixture.NAMES;
        }

        @Override
        public StoreKeys storeKeys() {
            return KEYS;
        }

        @Override
        public Decoder<RoutingConfiguration> configurationDecoder() {
            return (name, value) -> EntryFixture.configuration();
        }

        @Override
        public Decoder<UpstreamRecord> upstreamDecoder() {
            return EntryFixture::record;
        }

        @Override
        public KeyValueStore openStore(EventLoopGroup loop, HttpConnector connector, InetSocketAddress address) {
            return store;
        }

        @Override
        public Optional<UsageReports> openUsageReports(
                EventLoopGroup loop, HttpConnector connector, EntrySettings settings) {
            return Optional.empty();
        }

        @Override
        public Optional<UpstreamOrders> openUpstreamOrders(
                EventLoopGroup loop, HttpConnector connector, EntrySettings settings) {
            return Optional.empty();
        }
    };

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static EntrySettings settings(int callerPort) throws Exception {
        String json = "{\"instance\":\"i\",\"availability_zone\":\"zone-a\",\"region\":\"region-a\","
                + "\"regions_by_zone\":{\"zone-a\":\"region-a\"},\"listen\":{\"callers\":\"127.0.0.1:" + callerPort
                + "\",\"readiness\":\"127.0.0.1:" + freePort() + "\",\"control\":\"127.0.0.1:" + freePort()
                + "\",\"metrics\":\"127.0.0.1:" + freePort() + "\"},\"store\":{\"address\":\"127.0.0.1:1\"},"
                + "\"duties\":{},\"memory_mb\":100,\"shutdown_limit_s\":8,"
                + "\"retry_budget\":{\"ratio\":0.2,\"allowance\":50},\"lease_ms\":3000,"
                + "\"usage\":{\"window_s\":3600,\"due_s\":10}}";
        return EntrySettings.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    // Guards against a planned stop that loses the usage counts since the last periodic write: the window ends in an
    // hour, and a fleet of a thousand instances writes within a window only every few minutes.
    @Test
    void plannedStopWritesTheLastUsageCounts() throws Exception {
        ScriptedUpstream.Script script =
                (request, connection) -> write(connection, response(request, "200 OK", "done"));
        try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
            store.write(StoreWrite.put(KEYS.configurationKey(), new byte[0]));
            store.write(StoreWrite.put(
                    KEYS.upstreamPrefix() + "u0",
                    Integer.toString(upstream.port()).getBytes(StandardCharsets.UTF_8)));
            for (int i = 0; i < 1_000; i++) {
                store.write(StoreWrite.put(
                        "cranberrybend/fleet/instances/other-" + i,
                        "{\"address\":\"127.0.0.1:1\",\"zone\":\"zone-b\",\"memory_mb\":1}"
                                .getBytes(StandardCharsets.UTF_8)));
            }
            int callerPort = freePort();
            DecisionLog log = new DecisionLog("i", 1, TimeSource.system(), OutputStream.nullOutputStream());
            EntryService service = new EntryService(settings(callerPort), ports, log);
            service.start();
            for (String attempt : new String[] {"a1", "a2"}) {
                try (RawCaller caller = new RawCaller(callerPort)) {
                    caller.send(request("POST", "/once/x", attempt, "order")).readUntil("done");
                }
            }
            service.stop();
            String key = store.keys(COUNTS).get(0);
            assertThat(store.text(key).get()).contains("\"alpha\":2");
        }
    }
}
