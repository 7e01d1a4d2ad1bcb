package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.quarantine.CrashRecord;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.PromptQuarantine;
import org.cranberrybend.core.quarantine.Standing;
import org.cranberrybend.core.quarantine.UpstreamIncarnation;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.http.ApiClient;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.quarantine.CrashFormat;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CrashExchangeTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final PartFingerprint HARMFUL = PartFingerprint.of("model", "harmful");
    private static final long TICK_MS = 250;
    /** Ticks within which all instances must know of a quarantine: 4 s. */
    private static final int MAX_TICKS = 16;

    private static final long TIMEOUT_S = 10;
    private static final long CALL_TIMEOUT_MS = 5_000;
    /** Bound of one message, from the bytes that control may use in some seconds. */
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnector connector = Connectors.on(loop);
    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("test", 1, clock, OutputStream.nullOutputStream());
    private final Set<InetSocketAddress> peers = new LinkedHashSet<>();
    private final List<Instance> instances = new ArrayList<>();

    private final class Instance {
        private final QuarantineService quarantine =
                new QuarantineService(loop, new MemoryStore(clock), "instance", connector, clock, log);
        private boolean storeUnavailable;
        private final CrashExchange exchange = new CrashExchange(
                loop,
                connector,
                quarantine,
                () -> peers,
                () -> storeUnavailable,
                clock,
                log,
                new Random(RendezvousHash.hash("instance" + instances.size(), "peers")));
        private final InetSocketAddress address;

        Instance() throws Exception {
            HttpServer server =
                    new HttpServer(loop, clock, exchange, () -> LIMITS, new MessageMemoryLimit(10_000_000), log);
            address = (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress();
            instances.add(this);
            peers.add(address);
        }

        void reportCrashes(int count) throws Exception {
            onLoop(() -> quarantine.merge(crashes(count), "test"));
        }

        int quarantines() throws Exception {
            return onLoop(quarantine::quarantineCount);
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private List<CrashRecord> crashes(int count) {
        List<CrashRecord> crashes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            crashes.add(new CrashRecord(
                    new UpstreamIncarnation("engine" + i, 1),
                    clock.monotonicMs() - i * 1_000L,
                    Map.of(HARMFUL, Standing.NEVER_ANSWERED)));
        }
        return crashes;
    }

    /** Advances the clock by one tick of the given instances, and waits until they have their responses. */
    private void tick(List<Instance> ticking) throws Exception {
        onLoop(() -> {
            clock.advance(TICK_MS);
            ticking.forEach(each -> each.exchange.tick());
            return null;
        });
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (onLoop(() -> ticking.stream().anyMatch(each -> each.exchange.pendingCalls() > 0))) {
            assertThat(System.nanoTime()).isLessThan(endNs);
        }
    }

    private int knowing() throws Exception {
        int knowing = 0;
        for (Instance each : instances) {
            knowing += each.quarantines();
        }
        return knowing;
    }

    // Guards against instances that send on what the others know to be harmful: no store is involved.
    @ParameterizedTest
    @ValueSource(ints = {2, 8, 40})
    void newsReachAllInstances(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            new Instance();
        }
        tick(instances);
        instances.get(0).reportCrashes(3);
        int ticks = 0;
        while (knowing() < count && ticks < MAX_TICKS) {
            tick(instances);
            ticks++;
        }
        assertThat(knowing()).isEqualTo(count);
    }

    // Guards against evidence that is divided among instances, none of which has enough of it.
    @Test
    void crashesThatDifferentInstancesSawAddUp() throws Exception {
        for (int i = 0; i < 3; i++) {
            Instance instance = new Instance();
            List<CrashRecord> one = List.of(crashes(3).get(i));
            onLoop(() -> instance.quarantine.merge(one, "test"));
        }
        for (int ticks = 0; knowing() < 3 && ticks < MAX_TICKS; ticks++) {
            tick(instances);
        }
        assertThat(knowing()).isEqualTo(3);
    }

    // Guards against an instance that has just started, or was paused or cut off from the store, and that the news
    // passed by.
    @ParameterizedTest
    @ValueSource(strings = {"started", "paused", "store unavailable"})
    void instanceThatMissedNewsAsksForThem(String cause) throws Exception {
        Instance informed = new Instance();
        Instance late = new Instance();
        if (!cause.equals("started")) {
            tick(List.of(late));
        }
        informed.reportCrashes(3);
        clock.advance(cause.equals("paused") ? 10_000 : 2_000 - TICK_MS);
        late.storeUnavailable = cause.equals("store unavailable");
        tick(List.of(late));
        assertThat(late.quarantines()).isEqualTo(1);
    }

    // Guards against messages without end among instances that know of no crash.
    @Test
    void instancesWithoutCrashesAreSilent() throws Exception {
        new Instance();
        new Instance();
        tick(instances);
        for (int i = 0; i < 100; i++) {
            onLoop(() -> {
                clock.advance(TICK_MS);
                instances.forEach(each -> each.exchange.tick());
                return null;
            });
            assertThat(onLoop(() -> instances.stream().allMatch(each -> each.exchange.pendingCalls() == 0)))
                    .isTrue();
        }
    }

    // Guards against malformed or hostile bytes that end the process or spoil what is known.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "[]",
                "{\"crashes\":1}",
                "{\"crashes\":[{}]}",
                "{\"crashes\":[{\"upstream\":\"a\",\"started_at_ms\":1e400,\"age_ms\":1}]}",
                "{\"crashes\":[{\"upstream\":\"a\",\"started_at_ms\":1,\"age_ms\":1,\"never_answered\":[\"no hex\"]}]}"
            })
    void malformedRecordsAreRefused(String body) throws Exception {
        Instance instance = new Instance();
        instance.reportCrashes(3);
        ApiResponse response = new ApiClient(loop, connector, instance.address)
                .call(
                        "POST",
                        "/fleet/crashes?digest=0",
                        List.of(),
                        body.getBytes(StandardCharsets.UTF_8),
                        CALL_TIMEOUT_MS)
                .get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(response.status()).isEqualTo(400);
        assertThat(instance.quarantines()).isEqualTo(1);
    }

    // Guards against messages whose size grows with the crashes and the requests lost with them.
    @Test
    void messagesAreBounded() throws Exception {
        PromptQuarantine full = new PromptQuarantine();
        for (int crash = 0; crash < 2 * PromptQuarantine.MAX_RECORDS; crash++) {
            Map<PartFingerprint, Standing> standings = new HashMap<>();
            for (int part = 0; part < 2 * CrashRecord.MAX_PARTS; part++) {
                standings.put(PartFingerprint.of("model", crash + "/" + part), Standing.NEVER_ANSWERED);
            }
            full.merge(List.of(new CrashRecord(new UpstreamIncarnation("engine" + crash, 1), crash, standings)), crash);
        }
        byte[] message = CrashFormat.encode(full.records(), clock.monotonicMs());
        assertThat(message.length).isAtMost(MAX_MESSAGE_BYTES);
        assertThat(CrashFormat.decode(message, clock.monotonicMs())).isNotEmpty();
    }

    @Test
    void recordsAreReadAsTheyWereWritten() throws Exception {
        Map<PartFingerprint, Standing> standings = new HashMap<>();
        for (Standing standing : Standing.values()) {
            standings.put(PartFingerprint.of("model", standing.name()), standing);
        }
        CrashRecord record = new CrashRecord(new UpstreamIncarnation("engine", 7), clock.monotonicMs() - 40, standings);
        byte[] message = CrashFormat.encode(List.of(record), clock.monotonicMs());
        assertThat(CrashFormat.decode(message, clock.monotonicMs())).containsExactly(record);
        assertThrows(JsonFormatException.class, () -> CrashFormat.decode(new byte[] {'{'}, clock.monotonicMs()));
    }
}
