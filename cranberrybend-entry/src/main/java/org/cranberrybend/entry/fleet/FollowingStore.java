package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ApiClient;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * A store whose watches are shared within a zone: one instance, the leader, watches the store, and the others, its
 * followers, receive the changes from it. Store calls are billed and their rate is limited, so the number of watches
 * must not grow with the fleet. All other calls go to the store. Confined to the event loop.
 *
 * <p>A follower does not depend on its leader: if it gets no response in time, or its leader cannot reach the store, it
 * watches the store itself from the revision it has reached, and tries the leader again later.
 */
public final class FollowingStore implements KeyValueStore {
    /** Time for which a leader holds a request; with the margin below, the delay if the leader is unresponsive. */
    private static final long HOLD_MS = 700;

    /** Hold time of a request with load reports, which bounds the age of the reports exchanged. */
    private static final long LOAD_EXCHANGE_HOLD_MS = 400;

    /** Time beyond the hold time after which a request counts as failed. */
    private static final long RESPONSE_MARGIN_MS = 400;
    /** Time for which an instance watches the store itself after a failed request to its leader. */
    private static final long LEADER_RETRY_MS = 5_000;
    /** The same time if the store does not respond to this instance either. */
    private static final long LEADER_RETRY_WITHOUT_STORE_MS = 1_000;
    /**
     * Hold time of a watch in place of the leader's changes while the store does not respond. Such a watch may be lost,
     * and until it fails, this instance misses the changes that its leader receives after the return of the store.
     */
    private static final long HOLD_WITHOUT_STORE_MS = 300;

    /** Status if the leader's change log does not reach back to the follower's revision. */
    private static final int STATUS_NOT_COVERED = 409;

    private static final List<Header> JSON = List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"));

    private final KeyValueStore store;
    private final EventLoopGroup loop;
    private final HttpConnector connector;
    private final Supplier<Optional<InetSocketAddress>> leader;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final ChangeFeed feed;
    private final Map<InetSocketAddress, ApiClient> clients = new HashMap<>();
    private String loadsPrefix = "";
    private LoadExchange loadExchange = LoadExchange.NONE;
    private long nextLeaderTryMs = Long.MIN_VALUE;

    /**
     * Creates the store.
     *
     * @param leader control address of the leader; empty if this instance is the leader
     */
    public FollowingStore(
            KeyValueStore store,
            EventLoopGroup loop,
            HttpConnector connector,
            Supplier<Optional<InetSocketAddress>> leader,
            TimeSource timeSource,
            DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.connector = connector;
        this.leader = leader;
        this.timeSource = timeSource;
        this.log = log;
        this.feed = new ChangeFeed(loop, store.epoch(), timeSource, log);
    }

    /** Returns the handler of the requests of followers. */
    public RequestHandler feed() {
        return feed;
    }

    /** Returns whether a request to the control address comes from a follower. */
    public static boolean isFollowerRequest(String target) {
        return target.startsWith(ChangeFeed.PATH);
    }

    /** Sets which changes under a prefix are sent to followers. */
    public void setRelayFilter(String prefix, Predicate<StoreChange> filter) {
        feed.setRelayFilter(prefix, filter);
    }

    /** Sets the load reports that are exchanged along with the changes under a prefix. */
    public void setLoadExchange(String prefix, LoadExchange exchange) {
        loadsPrefix = prefix;
        loadExchange = exchange;
        feed.setLoadExchange(exchange);
    }

    @Override
    public StoreEpoch epoch() {
        return store.epoch();
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
        Optional<InetSocketAddress> leaderAddress =
                timeSource.monotonicMs() < nextLeaderTryMs ? Optional.empty() : leader.get();
        if (leaderAddress.isEmpty()) {
            return watchStore(prefix, afterRevision, waitMs);
        }
        feed.onFollowStarted(prefix);
        return follow(leaderAddress.get(), prefix, afterRevision)
                .handle((changes, failure) -> changes == null
                        ? watchStore(prefix, afterRevision, fallbackHoldMs(waitMs))
                        : CompletableFuture.completedFuture(changes))
                .thenCompose(next -> next);
    }

    private long fallbackHoldMs(long waitMs) {
        return feed.isStoreResponsive() ? waitMs : Math.min(waitMs, HOLD_WITHOUT_STORE_MS);
    }

    /** Requests changes from the leader; the result is null if the store must be watched instead. */
    private CompletableFuture<StoreChanges> follow(InetSocketAddress address, String prefix, long afterRevision) {
        boolean withLoads = prefix.equals(loadsPrefix);
        String target = ChangeFeed.PATH + "?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8) + "&after="
                + afterRevision + "&wait_ms=" + (withLoads ? LOAD_EXCHANGE_HOLD_MS : HOLD_MS);
        byte[] loadReports = withLoads
                ? Json.write(ChangeFormat.loads(loadExchange.recentLoads(ChangeFeed.LOAD_REPORT_MAX_AGE_MS, true)))
                : new byte[0];
        return clients.computeIfAbsent(address, each -> new ApiClient(loop, connector, each))
                .call("POST", target, JSON, loadReports, HOLD_MS + RESPONSE_MARGIN_MS)
                .handle((response, failure) -> failure == null
                        ? read(address, response)
                        : leaderFailed(address, String.valueOf(failure.getMessage())));
    }

    private StoreChanges read(InetSocketAddress address, ApiResponse response) {
        if (response.status() == STATUS_NOT_COVERED) {
            return null;
        }
        try {
            if (response.status() != 200) {
                return leaderFailed(address, "status " + response.status());
            }
            ChangeFormat.Response decoded = ChangeFormat.decode(response.body());
            loadExchange.merge(decoded.loads());
            return decoded.changes();
        } catch (JsonFormatException e) {
            return leaderFailed(address, String.valueOf(e.getMessage()));
        }
    }

    private StoreChanges leaderFailed(InetSocketAddress address, String cause) {
        long pauseMs = feed.isStoreResponsive() ? LEADER_RETRY_MS : LEADER_RETRY_WITHOUT_STORE_MS;
        log.record(EventCode.MEMBER_SUSPECTED, address.toString(), "cause", cause, "pause_ms", pauseMs);
        nextLeaderTryMs = timeSource.monotonicMs() + pauseMs;
        return null;
    }

    private CompletableFuture<StoreChanges> watchStore(String prefix, long afterRevision, long waitMs) {
        feed.onWatchStarted(prefix, afterRevision);
        return recordResponse(store.watch(prefix, afterRevision, waitMs)).whenComplete((changes, failure) -> {
            if (failure == null) {
                feed.onWatchConfirmed(prefix);
                feed.append(prefix, afterRevision, changes);
            } else {
                feed.onWatchFailed(prefix);
            }
        });
    }

    /** Records the time of each successful response, by which the feed decides whether empty responses may be sent. */
    private <T> CompletableFuture<T> recordResponse(CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> {
            if (failure == null) {
                feed.onStoreResponse();
            }
        });
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        return recordResponse(store.get(key));
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        return recordResponse(store.list(prefix)).whenComplete((snapshot, failure) -> {
            if (failure == null) {
                feed.onWatchConfirmed(prefix);
            }
        });
    }

    @Override
    public CompletableFuture<Long> write(StoreWrite write) {
        return recordResponse(store.write(write));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return recordResponse(store.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
        return recordResponse(store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
        return recordResponse(store.endLease(leaseId));
    }
}
