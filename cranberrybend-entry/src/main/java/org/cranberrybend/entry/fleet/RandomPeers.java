package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.entry.http.ApiClient;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.HttpConnector;

/**
 * Calls to other instances that are chosen at random, for state that spreads by gossip. Confined to the event loop.
 */
final class RandomPeers {
    static final List<Header> JSON = List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
    private static final long CALL_TIMEOUT_MS = 600;

    private final EventLoopGroup loop;
    private final HttpConnector connector;
    private final Supplier<Set<InetSocketAddress>> peers;
    private final Random random;
    private final Map<InetSocketAddress, ApiClient> clients = new HashMap<>();
    private int pendingCalls;

    /**
     * Creates the calls.
     *
     * @param random chooses the instances; generators with similar seeds would choose the same ones
     */
    RandomPeers(EventLoopGroup loop, HttpConnector connector, Supplier<Set<InetSocketAddress>> peers, Random random) {
        this.loop = loop;
        this.connector = connector;
        this.peers = peers;
        this.random = random;
    }

    /** Returns up to a number of other instances. */
    List<InetSocketAddress> draw(int count) {
        List<InetSocketAddress> shuffled = new ArrayList<>(peers.get());
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    /** Sends a message and returns the response; an empty body asks only. */
    CompletableFuture<ApiResponse> post(InetSocketAddress peer, String target, byte[] body) {
        pendingCalls++;
        return clients.computeIfAbsent(peer, address -> new ApiClient(loop, connector, address))
                .call("POST", target, JSON, body, CALL_TIMEOUT_MS)
                .whenComplete((response, failure) -> pendingCalls--);
    }

    /** Returns the number of calls that have no response yet. */
    int pendingCalls() {
        return pendingCalls;
    }
}
