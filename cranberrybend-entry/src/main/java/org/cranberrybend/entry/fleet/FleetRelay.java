package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.FleetKeys;
import org.cranberrybend.entry.duty.PeerDirectory;
import org.cranberrybend.entry.http.ApiClient;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.CallLimits;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/**
 * Uses other instances in place of the store while it is unavailable to this one: reads configuration, evacuations and
 * upstreams from them, and writes usage counts through them. Serves the same requests of other instances.
 *
 * <p>While the store is available, only usage counts are exchanged: the leader of an availability zone gathers those of
 * its instances and writes them together. An instance that gets no confirmation from its leader writes them itself.
 * Confined to the event loop.
 */
public final class FleetRelay implements RequestHandler {
    private static final String COUNTS_PATH = "/fleet/counts";
    /** Differs from the path of versions whose revisions have no epoch, which would take every other revision for old. */
    private static final String STATE_PATH = "/fleet/epoch-state?version=";

    private static final long POLL_INTERVAL_MS = 400;
    /** Interval while the polled instances have no recent state either: the store is probably unavailable to all. */
    private static final long BACKOFF_INTERVAL_MS = 1_000;

    /** Limits of a poll, whose response may be long for the link. */
    private static final CallLimits POLL_LIMITS = new CallLimits(600, 600, 3_000);
    /** Time in which the leader gathers counts and writes them; a slow store takes some hundred milliseconds. */
    private static final long GATHERED_WRITE_TIMEOUT_MS = CountsGatherer.GATHER_MS + 1_000;
    /** Time for which an instance writes its counts itself after its leader did not confirm them. */
    private static final long LEADER_RETRY_MS = 8_000;
    /** Time without a store response after which other instances are polled; longer than a watch without changes. */
    private static final long STORE_SILENCE_LIMIT_MS = 5_500;
    /** Age of an instance's state up to which it may replace entries that were read from the store. */
    private static final long MAX_STATE_AGE_MS = 6_000;

    private final EventLoopGroup loop;
    private final HttpConnector connector;
    private final KeyValueStore store;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final ZoneEvacuations evacuations;
    private final BooleanSupplier isWatchUnavailable;
    private final BooleanSupplier isStoreUnavailable;
    private final PeerDirectory peers;
    private final CountsGatherer gatherer;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final long gatheredWriteTimeoutMs;
    private final Map<InetSocketAddress, ApiClient> clients = new HashMap<>();
    private long nextPollMs;
    private long nextLeaderTryMs = Long.MIN_VALUE;
    /** Time until which counts go through other instances because the store has not confirmed a write of this one. */
    private long nextDirectWriteMs = Long.MIN_VALUE;

    private int nextPeer;

    /**
     * Creates a relay between the state of this instance and its peers.
     *
     * @param isWatchUnavailable whether a watch receives changes neither from the store nor from another instance
     * @param isStoreUnavailable whether the last call of the store by this instance has failed
     */
    public FleetRelay(
            EventLoopGroup loop,
            HttpConnector connector,
            KeyValueStore store,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            ZoneEvacuations evacuations,
            BooleanSupplier isWatchUnavailable,
            BooleanSupplier isStoreUnavailable,
            PeerDirectory peers,
            TimeSource timeSource,
            DecisionLog log) {
        this(
                loop,
                connector,
                store,
                configuration,
                upstreams,
                evacuations,
                isWatchUnavailable,
                isStoreUnavailable,
                peers,
                timeSource,
                log,
                GATHERED_WRITE_TIMEOUT_MS);
    }

    /**
     * Creates a relay with another time limit of writes through the leader.
     *
     * @param gatheredWriteTimeoutMs time limit, in milliseconds
     */
    FleetRelay(
            EventLoopGroup loop,
            HttpConnector connector,
            KeyValueStore store,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            ZoneEvacuations evacuations,
            BooleanSupplier isWatchUnavailable,
            BooleanSupplier isStoreUnavailable,
            PeerDirectory peers,
            TimeSource timeSource,
            DecisionLog log,
            long gatheredWriteTimeoutMs) {
        this.loop = loop;
        this.connector = connector;
        this.store = store;
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.evacuations = evacuations;
        this.isWatchUnavailable = isWatchUnavailable;
        this.isStoreUnavailable = isStoreUnavailable;
        this.peers = peers;
        this.gatherer = new CountsGatherer(store, loop);
        this.timeSource = timeSource;
        this.log = log;
        this.gatheredWriteTimeoutMs = gatheredWriteTimeoutMs;
    }

    @Override
    public void handle(ReceivedRequest request, ServerExchange exchange) {
        String target = request.head().getRequestUri();
        if (target.equals(COUNTS_PATH)) {
            writeCounts(request, exchange);
            return;
        }
        if (!target.startsWith(STATE_PATH)) {
            exchange.respond(404, "Not Found", List.of(), new byte[0]);
            return;
        }
        long version;
        try {
            version = Long.parseLong(target.substring(STATE_PATH.length()));
        } catch (NumberFormatException e) {
            exchange.respond(400, "Bad Request", List.of(), new byte[0]);
            return;
        }
        byte[] newer = configuration.version() > version ? configuration.storedBytes() : new byte[0];
        FleetState state =
                new FleetState(newer, upstreams.items(), upstreams.revision(), upstreams.ageMs(), evacuations.state());
        GzipBody.respond(exchange, GzipBody.encode(state.encode(), GzipBody.isAccepted(request)));
    }

    private void writeCounts(ReceivedRequest request, ServerExchange exchange) {
        List<StoreWrite.Put> puts = new ArrayList<>();
        try {
            for (StoreItem item : FleetState.decode(request.body()).upstreams()) {
                if (FleetKeys.isCounts(item.key()) && puts.size() < StoreWrite.MAX_ENTRIES) {
                    puts.add(new StoreWrite.Put(item.key(), item.value(), 0));
                }
            }
        } catch (JsonFormatException e) {
            exchange.respond(400, "Bad Request", List.of(), new byte[0]);
            return;
        }
        gatherer.add(puts).whenComplete((revision, failure) -> {
            boolean done = failure == null;
            exchange.respond(done ? 200 : 503, done ? "OK" : "Service Unavailable", List.of(), new byte[0]);
        });
    }

    /**
     * Writes usage counts to the store: through the leader, or another instance if the store is unavailable here. The
     * watches do not show that: they receive changes from other instances, also while the store rejects the calls of this
     * one.
     */
    public CompletableFuture<Long> write(StoreWrite counts) {
        long nowMs = timeSource.monotonicMs();
        List<InetSocketAddress> addresses = new ArrayList<>(peers.peerAddresses());
        if ((isStoreUnavailable.getAsBoolean() || nowMs < nextDirectWriteMs) && !addresses.isEmpty()) {
            return sendCounts(addresses.get(Math.floorMod(nextPeer++, addresses.size())), counts);
        }
        Optional<InetSocketAddress> leaderAddress = peers.zoneLeader();
        if (leaderAddress.isEmpty()) {
            return gatherer.add(counts.puts());
        }
        if (nowMs < nextLeaderTryMs) {
            return store.write(counts).whenComplete((revision, failure) -> {
                if (failure != null) {
                    nextDirectWriteMs = nextLeaderTryMs;
                }
            });
        }
        return sendCounts(leaderAddress.get(), counts).whenComplete((revision, failure) -> {
            if (failure != null) {
                log.record(
                        EventCode.MEMBER_SUSPECTED,
                        leaderAddress.get().toString(),
                        "cause",
                        String.valueOf(failure.getMessage()),
                        "pause_ms",
                        LEADER_RETRY_MS);
                nextLeaderTryMs = timeSource.monotonicMs() + LEADER_RETRY_MS;
            }
        });
    }

    /** Writes usage counts to the store at once, because the process stops. */
    public CompletableFuture<Long> writeNow(StoreWrite counts) {
        return store.write(counts);
    }

    private CompletableFuture<Long> sendCounts(InetSocketAddress peer, StoreWrite counts) {
        List<StoreItem> items = new ArrayList<>();
        counts.puts().forEach(put -> items.add(new StoreItem(put.key(), put.value(), 0, 0, 0)));
        byte[] body = new FleetState(new byte[0], items, 0, 0).encode();
        return client(peer)
                .call("POST", COUNTS_PATH, List.of(), body, gatheredWriteTimeoutMs)
                .thenCompose(response -> response.status() == 200
                        ? CompletableFuture.completedFuture(0L)
                        : CompletableFuture.failedFuture(new StoreException(
                                StoreException.Kind.UNKNOWN, peer + ": status " + response.status())));
    }

    private ApiClient client(InetSocketAddress peer) {
        return clients.computeIfAbsent(peer, address -> new ApiClient(loop, connector, address));
    }

    /** Polls other instances if the store is unavailable. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        boolean outdated = isWatchUnavailable.getAsBoolean() || upstreams.ageMs() > STORE_SILENCE_LIMIT_MS;
        if (!outdated || nowMs < nextPollMs) {
            return;
        }
        nextPollMs = nowMs + BACKOFF_INTERVAL_MS;
        pollNext(peers.regionalAddresses());
        pollNext(peers.peerAddresses());
    }

    /** Polls the next one of some instances. */
    private void pollNext(Set<InetSocketAddress> candidates) {
        List<InetSocketAddress> addresses = new ArrayList<>(candidates);
        if (!addresses.isEmpty()) {
            poll(addresses.get(Math.floorMod(nextPeer++, addresses.size())));
        }
    }

    private void poll(InetSocketAddress peer) {
        client(peer)
                .call("GET", STATE_PATH + configuration.version(), List.of(GzipBody.ACCEPT), new byte[0], POLL_LIMITS)
                .whenComplete((response, failure) -> {
                    if (failure == null && response.status() == 200) {
                        apply(peer, response);
                    } else {
                        nextPollMs = Math.min(nextPollMs, timeSource.monotonicMs() + POLL_INTERVAL_MS);
                    }
                });
    }

    private void apply(InetSocketAddress peer, ApiResponse response) {
        FleetState state;
        try {
            state = FleetState.decode(GzipBody.decode(response));
        } catch (JsonFormatException e) {
            log.record(EventCode.CONFIGURATION_UNREADABLE, peer.toString(), "cause", e.getMessage());
            return;
        }
        store.epoch().observe(StoreRevision.epochOf(state.revision()));
        // An instance serves requests from its first configuration on, so the evacuations must be known before it.
        evacuations.offer("instance " + peer, state.evacuations());
        if (state.configuration().length > 0) {
            configuration.offer("instance " + peer, state.configuration());
        }
        if (state.ageMs() <= MAX_STATE_AGE_MS) {
            nextPollMs = Math.min(nextPollMs, timeSource.monotonicMs() + POLL_INTERVAL_MS);
            if (upstreams.isStoreUnavailable() || !upstreams.isLoaded()) {
                upstreams.mergePeerState(state.upstreams(), state.revision());
            }
        } else if (!upstreams.isLoaded()) {
            upstreams.mergePeerState(state.upstreams(), state.revision());
        }
    }
}
