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
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * The store as an instance of a large fleet uses it: one instance of each zone watches it, the others follow that one,
 * because each call is priced and rates are bounded. All calls but watches go to the store. Confined to the event loop.
 *
 * <p>Following costs no safety: an instance that isn't answered in time, or whose leader does not hear the store, watches
 * the store itself from the revision it has reached, and tries the leader again later.
 */
public final class FollowingStore implements KeyValueStore {
    /** Time for which a leader holds a call; what a follower learns later because its leader has stopped. */
    private static final long FOLLOW_WAIT_MS = 700;

    /** The same for a call that carries loads, whose figures are as old as the calls are apart. */
    private static final long LOADS_WAIT_MS = 400;

    private static final long FOLLOW_SLACK_MS = 400;
    /** Time for which an instance watches the store itself after its leader has failed it. */
    private static final long LEADER_PAUSE_MS = 5_000;
    /** The leader runs, but its changes do not reach back to the follower's revision. */
    private static final int NOT_COVERED = 409;

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
    private LoadExchange loads = LoadExchange.NONE;
    private long leadersAvoidedUntilMs = Long.MIN_VALUE;

    /**
     * Creates the store.
     *
     * @param leader control address of the instance to follow; empty if this instance watches the store
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
        this.feed = new ChangeFeed(loop, timeSource, log);
    }

    /** Returns the handler of the calls of followers. */
    public RequestHandler feed() {
        return feed;
    }

    /** Returns whether a call at the control address is one of a follower. */
    public static boolean isFollowersCall(String target) {
        return target.startsWith(ChangeFeed.PATH);
    }

    /** Sets which changes under a prefix are worth passing on to followers. */
    public void passOnly(String prefix, Predicate<StoreChange> isNews) {
        feed.passOnly(prefix, isNews);
    }

    /** Sets what is exchanged of the upstreams' loads along with the changes under a prefix. */
    public void exchangeLoads(String prefix, LoadExchange exchange) {
        loadsPrefix = prefix;
        loads = exchange;
        feed.exchangeLoads(exchange);
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMs) {
        Optional<InetSocketAddress> followed =
                timeSource.monotonicMs() < leadersAvoidedUntilMs ? Optional.empty() : leader.get();
        if (followed.isEmpty()) {
            return watchStore(prefix, afterRevision, waitMs);
        }
        feed.following(prefix);
        return follow(followed.get(), prefix, afterRevision)
                .handle((changes, failure) -> changes == null
                        ? watchStore(prefix, afterRevision, waitMs)
                        : CompletableFuture.completedFuture(changes))
                .thenCompose(next -> next);
    }

    /** Asks the leader; the result is null if the store is to be asked instead. */
    private CompletableFuture<StoreChanges> follow(InetSocketAddress address, String prefix, long afterRevision) {
        boolean withLoads = prefix.equals(loadsPrefix);
        String target = ChangeFeed.PATH + "?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8) + "&after="
                + afterRevision + "&wait_ms=" + (withLoads ? LOADS_WAIT_MS : FOLLOW_WAIT_MS);
        byte[] told = withLoads
                ? Json.write(ChangeFormat.loads(loads.heard(ChangeFeed.LOADS_MAX_AGE_MS, true)))
                : new byte[0];
        return clients.computeIfAbsent(address, each -> new ApiClient(loop, connector, each))
                .call("POST", target, JSON, told, FOLLOW_WAIT_MS + FOLLOW_SLACK_MS)
                .handle((reply, failure) -> failure == null
                        ? read(address, reply)
                        : avoidLeaders(address, String.valueOf(failure.getMessage())));
    }

    private StoreChanges read(InetSocketAddress address, ApiResponse reply) {
        if (reply.status() == NOT_COVERED) {
            return null;
        }
        try {
            if (reply.status() != 200) {
                return avoidLeaders(address, "status " + reply.status());
            }
            ChangeFormat.Reply told = ChangeFormat.decode(reply.body());
            loads.take(told.loads());
            return told.changes();
        } catch (JsonFormatException e) {
            return avoidLeaders(address, String.valueOf(e.getMessage()));
        }
    }

    private StoreChanges avoidLeaders(InetSocketAddress address, String cause) {
        log.record(EventCode.MEMBER_SUSPECTED, address.toString(), "cause", cause, "pause_ms", LEADER_PAUSE_MS);
        leadersAvoidedUntilMs = timeSource.monotonicMs() + LEADER_PAUSE_MS;
        return null;
    }

    private CompletableFuture<StoreChanges> watchStore(String prefix, long afterRevision, long waitMs) {
        feed.watching(prefix, afterRevision);
        return heard(store.watch(prefix, afterRevision, waitMs)).whenComplete((changes, failure) -> {
            if (failure == null) {
                feed.append(prefix, afterRevision, changes);
            }
        });
    }

    private <T> CompletableFuture<T> heard(CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> {
            if (failure == null) {
                feed.storeHeard();
            }
        });
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        return heard(store.get(key));
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        return heard(store.list(prefix));
    }

    @Override
    public CompletableFuture<Long> write(StoreWrite write) {
        return heard(store.write(write));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return heard(store.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
        return heard(store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
        return heard(store.endLease(leaseId));
    }
}
