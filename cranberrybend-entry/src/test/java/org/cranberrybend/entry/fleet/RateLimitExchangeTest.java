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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.testing.Connectors;
import org.cranberrybend.entry.testing.TestClock;
import org.cranberrybend.entry.upstream.RateLimitReport;
import org.cranberrybend.entry.upstream.RateLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RateLimitExchangeTest {
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 1_000_000, 2_000, 5_000);
    private static final long TICK_MS = 250;
    /** Ticks within which all instances must know of a limit: 3 s. */
    private static final int MAX_TICKS = 12;

    private static final int INSTANCES = 89;
    private static final long TIMEOUT_S = 10;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnector connector = Connectors.on(loop);
    private final TestClock clock = new TestClock();
    private final DecisionLog log = new DecisionLog("test", 1, clock, OutputStream.nullOutputStream());
    private final Set<InetSocketAddress> peers = new LinkedHashSet<>();
    private final List<Instance> instances = new ArrayList<>();

    private final class Instance {
        private final RateLimits limits = new RateLimits(clock, log);
        private final RateLimitExchange exchange = new RateLimitExchange(
                loop,
                connector,
                limits,
                () -> peers,
                clock,
                log,
                new Random(RendezvousHash.hash("instance" + instances.size(), "peers")));

        Instance() throws Exception {
            HttpServer server =
                    new HttpServer(loop, clock, exchange, () -> LIMITS, new MessageMemoryLimit(10_000_000), log);
            peers.add((InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress());
            instances.add(this);
        }

        boolean knows(double requestsPerS) {
            return limits.reports().stream().anyMatch(each -> each.requestsPerS() == requestsPerS);
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void state(Instance instance, double requestsPerS) throws Exception {
        onLoop(() -> {
            instance.limits.merge(List.of(new RateLimitReport("u", 1, requestsPerS, 0)));
            return null;
        });
    }

    /** Advances the clock by one tick of all instances, and waits until they have their responses. */
    private void tick() throws Exception {
        onLoop(() -> {
            clock.advance(TICK_MS);
            instances.forEach(each -> each.exchange.tick());
            return null;
        });
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (onLoop(() -> instances.stream().anyMatch(each -> each.exchange.pendingCalls() > 0))) {
            assertThat(System.nanoTime()).isLessThan(endNs);
        }
    }

    private long knowing(double requestsPerS) throws Exception {
        return onLoop(() ->
                instances.stream().filter(each -> each.knows(requestsPerS)).count());
    }

    // Guards against instances that send as before because they have no response of an upstream with a limit, and
    // against ones that go on with a limit that has ended.
    @Test
    void allInstancesLearnOfALimitAndOfItsEnd() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            new Instance();
        }
        state(instances.get(7), 3);
        for (int i = 0; i < MAX_TICKS; i++) {
            tick();
        }
        assertThat(knowing(3)).isEqualTo(INSTANCES);
        state(instances.get(3), Double.POSITIVE_INFINITY);
        for (int i = 0; i < MAX_TICKS; i++) {
            tick();
        }
        assertThat(knowing(Double.POSITIVE_INFINITY)).isEqualTo(INSTANCES);
    }

    // Guards against a process that has just started and sends as if there were no limits.
    @Test
    void newInstanceAsksForTheLimits() throws Exception {
        Instance first = new Instance();
        state(first, 3);
        for (int i = 0; i < 2 * MAX_TICKS; i++) {
            tick();
        }
        Instance next = new Instance();
        tick();
        assertThat(onLoop(() -> next.knows(3))).isTrue();
    }

    // Guards against a message that names no limit and is applied in part, or ends the exchange.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"u\":\"1,3\"}",
                "{\"u\":\"1,x,5\"}",
                "{\"u\":\"1,-3,5\"}",
                "{\"u\":\"1,NaN,5\"}",
                "{\"u\":\"1,3,-5\"}",
                "{\"u\":7}",
                "[]",
                ""
            })
    void oddMessageIsRefused(String message) {
        assertThrows(JsonFormatException.class, () -> RateLimitFormat.decode(message.getBytes(StandardCharsets.UTF_8)));
    }

    // Guards against a format that does not carry what an instance knows.
    @Test
    void formatKeepsLimitsAndEnds() throws Exception {
        List<RateLimitReport> reports = List.of(
                new RateLimitReport("a", 1_700_000_000_000L, 2.25, 17),
                new RateLimitReport("b", 2, Double.POSITIVE_INFINITY, 0));
        assertThat(RateLimitFormat.decode(RateLimitFormat.encode(reports))).containsExactlyElementsIn(reports);
    }
}
