package org.cranberrybend.wire.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.wire.Await;
import org.cranberrybend.wire.UnresponsivePeer;
import org.cranberrybend.wire.generated.Ack;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.Hello;
import org.cranberrybend.wire.generated.Ping;
import org.cranberrybend.wire.generated.SlotCancel;
import org.cranberrybend.wire.generated.UpstreamInfo;
import org.cranberrybend.wire.generated.UpstreamTable;
import org.cranberrybend.wire.generated.UsageAck;
import org.cranberrybend.wire.generated.UsageFlush;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerTransportTest {
    private static final long LONG_TIMEOUT_MS = 60_000;
    private static final int MAX_FRAME_BYTES = 1 << 16;
    private static final int LINK_BURST_BYTES = 1_000;

    private final List<PeerTransport> transports = new ArrayList<>();
    private final MetricRegistry metrics = new MetricRegistry();

    /** Peer addresses and member identifiers in another region. */
    private final Set<String> otherRegionPeers = ConcurrentHashMap.newKeySet();

    private final class TestContext implements PeerContext {
        @Override
        public void fillHeader(Envelope.Builder frame) {
            frame.setSender("entry-1/router");
        }

        @Override
        public Envelope.Builder hello() {
            return Envelope.newBuilder().setHello(Hello.getDefaultInstance());
        }

        @Override
        public void observe(Envelope frame) {}

        @Override
        public boolean isInOtherRegion(String memberIdOrAddress) {
            return otherRegionPeers.contains(memberIdOrAddress);
        }
    }

    private PeerTransport create(MetricRegistry registry, long keepAliveIntervalMs, long receiveTimeoutMs) {
        PeerTransportSettings settings = new PeerTransportSettings(
                "127.0.0.1",
                0,
                keepAliveIntervalMs,
                receiveTimeoutMs,
                1_000,
                0,
                MAX_FRAME_BYTES,
                4 * MAX_FRAME_BYTES,
                1,
                LINK_BURST_BYTES);
        PeerTransport transport = new PeerTransport(settings, new TestContext(), registry);
        transports.add(transport);
        return transport;
    }

    private PeerTransport startResponder() throws Exception {
        PeerTransport responder = create(new MetricRegistry(), 20_000, LONG_TIMEOUT_MS);
        responder.register(Envelope.BodyCase.PING, frame -> Optional.of(ack()));
        responder.start();
        return responder;
    }

    private PeerTransport startClient(long receiveTimeoutMs) throws Exception {
        PeerTransport client = create(metrics, receiveTimeoutMs / 4, receiveTimeoutMs);
        client.start();
        return client;
    }

    private static String address(PeerTransport transport) {
        return "127.0.0.1:" + transport.port();
    }

    private static Envelope.Builder ping() {
        return Envelope.newBuilder().setPing(Ping.getDefaultInstance());
    }

    private static Envelope.Builder ack() {
        return Envelope.newBuilder().setAck(Ack.newBuilder().setReached(true));
    }

    private long count(String name) {
        return metrics.counter(name).getCount();
    }

    @AfterEach
    void stopAll() {
        transports.forEach(PeerTransport::stop);
    }

    // Guards against counters that omit a message type or the length prefix of the frame.
    @Test
    void requestAndReplyAreCounted() throws Exception {
        PeerTransport client = startClient(LONG_TIMEOUT_MS);

        Envelope reply = client.request(address(startResponder()), ping(), LONG_TIMEOUT_MS)
                .get();

        assertThat(reply.getAck().getReached()).isTrue();
        assertThat(count("peer_frames_received{type=\"Ack\"}")).isEqualTo(1);
        assertThat(count("peer_bytes_received{type=\"Ack\"}"))
                .isEqualTo(reply.getSerializedSize() + TransportMetrics.PREFIX_BYTES);
        Await.until("ping is counted", () -> count("peer_frames_sent{type=\"Ping\"}") == 1);
    }

    // Guards against an unresponsive connection that blocks requests to other peers or is never replaced.
    @Test
    void unresponsivePeerTimesOutAndIsContactedOnNewConnection() throws Exception {
        try (UnresponsivePeer unresponsive = new UnresponsivePeer()) {
            PeerTransport client = startClient(10 * LONG_TIMEOUT_MS);
            CompletableFuture<Envelope> unanswered = client.request(unresponsive.address(), ping(), 50);

            assertThat(client.request(address(startResponder()), ping(), LONG_TIMEOUT_MS)
                            .get()
                            .hasAck())
                    .isTrue();
            ExecutionException failure = assertThrows(ExecutionException.class, unanswered::get);
            assertThat(failure).hasCauseThat().isInstanceOf(TimeoutException.class);
            Await.until("a new connection", () -> {
                client.request(unresponsive.address(), ping(), 50);
                return unresponsive.acceptedCount() > 1;
            });
        }
    }

    // Guards against a connection that stays open after its receive timeout.
    @Test
    void unresponsiveConnectionIsClosedAndReopened() throws Exception {
        try (UnresponsivePeer unresponsive = new UnresponsivePeer()) {
            PeerTransport client = startClient(200);

            client.send(unresponsive.address(), ping());

            Await.until("the connection is reopened", () -> unresponsive.acceptedCount() > 1);
            assertThat(count("peer_connections_silent")).isAtLeast(1);
        }
    }

    // Guards against an idle connection that reaches its receive timeout because one side sends no keep-alives.
    @Test
    void idleConnectionCarriesKeepAlives() throws Exception {
        PeerTransport responder = create(new MetricRegistry(), 20, LONG_TIMEOUT_MS);
        responder.start();
        PeerTransport client = create(metrics, 20, LONG_TIMEOUT_MS);
        client.start();

        client.send(address(responder), ping());

        Await.until("keep-alives received", () -> count("peer_frames_received{type=\"KeepAlive\"}") > 2);
        Await.until("keep-alives sent", () -> count("peer_frames_sent{type=\"KeepAlive\"}") > 2);
    }

    // Guards against a reply that completes a request to which it does not belong.
    @Test
    void replyWithoutRequestIsDropped() throws Exception {
        PeerTransport receiver = startClient(LONG_TIMEOUT_MS);
        Envelope reply = ack().setCorrelationId(1).setResponse(true).build();

        try (Socket socket = new Socket("127.0.0.1", receiver.port());
                DataOutputStream out = new DataOutputStream(socket.getOutputStream())) {
            out.writeInt(reply.getSerializedSize());
            out.write(reply.toByteArray());

            Await.until("dropped", () -> count("peer_frames_dropped{reason=\"unknown_correlation\"}") == 1);
        }
    }

    // Guards against a peer that exhausts the memory with an oversized frame.
    @Test
    void oversizedFrameClosesTheConnection() throws Exception {
        PeerTransport receiver = startClient(LONG_TIMEOUT_MS);

        try (Socket socket = new Socket("127.0.0.1", receiver.port());
                DataOutputStream out = new DataOutputStream(socket.getOutputStream())) {
            out.writeInt(MAX_FRAME_BYTES + 1);
            out.write(new byte[1]);

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            assertThat(count("peer_frames_dropped{reason=\"invalid\"}")).isEqualTo(1);
        }
    }

    // Guards against unbounded buffering of frames for a peer that does not read.
    @Test
    void framesAreDroppedWhenTheBufferIsFull() throws Exception {
        try (UnresponsivePeer unresponsive = new UnresponsivePeer()) {
            PeerTransport client = startClient(LONG_TIMEOUT_MS);
            Envelope.Builder large = Envelope.newBuilder()
                    .setSlotCancel(SlotCancel.newBuilder()
                            .setRequestIdBytes(ByteString.copyFrom(new byte[MAX_FRAME_BYTES / 2])));

            Await.until("frames are dropped", () -> {
                client.send(unresponsive.address(), large.clone());
                return count("peer_frames_dropped{reason=\"buffer_full\"}") > 0;
            });
            assertThat(client.request(address(startResponder()), ping(), LONG_TIMEOUT_MS)
                            .get()
                            .hasAck())
                    .isTrue();
        }
    }

    // Guards against probes that queue behind blocked handlers of bulk messages.
    @Test
    void blockedBulkHandlersDoNotDelayProbes() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        PeerTransport responder = create(new MetricRegistry(), 20_000, LONG_TIMEOUT_MS);
        responder.register(Envelope.BodyCase.PING, frame -> Optional.of(ack()));
        responder.register(Envelope.BodyCase.USAGE_FLUSH, frame -> {
            awaitLatch(released);
            return Optional.of(Envelope.newBuilder().setUsageAck(UsageAck.getDefaultInstance()));
        });
        responder.start();
        PeerTransport client = startClient(LONG_TIMEOUT_MS);
        List<CompletableFuture<Envelope>> flushes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Envelope.Builder flush = Envelope.newBuilder().setUsageFlush(UsageFlush.getDefaultInstance());
            flushes.add(client.request(address(responder), flush, LONG_TIMEOUT_MS));
        }

        assertThat(client.request(address(responder), ping(), LONG_TIMEOUT_MS)
                        .get()
                        .hasAck())
                .isTrue();
        assertThat(flushes.stream().noneMatch(CompletableFuture::isDone)).isTrue();
        released.countDown();
        for (CompletableFuture<Envelope> flush : flushes) {
            assertThat(flush.get().hasUsageAck()).isTrue();
        }
    }

    private static Envelope.Builder largeTable() {
        return Envelope.newBuilder()
                .setUpstreamTable(UpstreamTable.newBuilder()
                        .addUpstreams(UpstreamInfo.newBuilder().setId("e".repeat(LINK_BURST_BYTES * 3 / 4))));
    }

    // Guards against large messages that saturate the inter-region link, and control frames that queue behind them.
    @Test
    void largeFramesToOtherRegionWaitAndControlDoesNot() throws Exception {
        PeerTransport responder = create(new MetricRegistry(), 20_000, LONG_TIMEOUT_MS);
        AtomicInteger tables = new AtomicInteger();
        responder.register(Envelope.BodyCase.PING, frame -> Optional.of(ack()));
        responder.register(Envelope.BodyCase.UPSTREAM_TABLE, frame -> {
            tables.incrementAndGet();
            return Optional.empty();
        });
        responder.start();
        otherRegionPeers.add(address(responder));
        PeerTransport client = startClient(LONG_TIMEOUT_MS);

        // At one byte per second the second table waits for about ten minutes.
        client.send(address(responder), largeTable());
        client.send(address(responder), largeTable());
        Await.until("a table waits", () -> count("peer_link_frames_delayed{purpose=\"configuration\"}") == 1);
        Await.until("the first table arrives", () -> tables.get() == 1);
        for (int i = 0; i < 20; i++) {
            client.request(address(responder), ping(), LONG_TIMEOUT_MS).get();
        }

        assertThat(tables.get()).isEqualTo(1);
        // The sender counts a frame after writing it, by when the receiver may already have handled it.
        Await.until(
                "the table is counted",
                () -> count("peer_link_bytes_sent{purpose=\"configuration\"}") > LINK_BURST_BYTES / 2);
        Await.until("the pings are counted", () -> count("peer_link_bytes_sent{purpose=\"control\"}") > 20);
        assertThat(count("peer_link_bytes_received{purpose=\"control\"}")).isGreaterThan(20);
        assertThat(metrics.getCounters().keySet().stream().filter(name -> name.startsWith("peer_frames_dropped")))
                .isEmpty();
    }

    // Guards against a link budget that also delays traffic within the region.
    @Test
    void framesInsideTheRegionAreNeitherCountedNorDelayed() throws Exception {
        PeerTransport responder = create(new MetricRegistry(), 20_000, LONG_TIMEOUT_MS);
        CountDownLatch received = new CountDownLatch(5);
        responder.register(Envelope.BodyCase.UPSTREAM_TABLE, frame -> {
            received.countDown();
            return Optional.empty();
        });
        responder.start();
        PeerTransport client = startClient(LONG_TIMEOUT_MS);

        for (int i = 0; i < 5; i++) {
            client.send(address(responder), largeTable());
        }

        assertThat(received.await(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(metrics.getCounters().keySet().stream().filter(name -> name.startsWith("peer_link")))
                .isEmpty();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Guards against a request that waits for its timeout although the connection was refused.
    @Test
    void requestToClosedPortFailsAtOnce() throws Exception {
        String closed;
        try (UnresponsivePeer peer = new UnresponsivePeer()) {
            closed = peer.address();
        }
        PeerTransport client = startClient(LONG_TIMEOUT_MS);

        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> client.request(closed, ping(), LONG_TIMEOUT_MS)
                        .get());

        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
    }
}
