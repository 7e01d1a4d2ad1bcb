package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.ChangeSources;
import org.cranberrybend.entry.http.ApiClient;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.CallLimits;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * A store whose watches are shared within a zone: one instance, the leader, watches the store, and the others, its
 * followers, receive the changes from it. Store calls are billed and their rate is limited, so the number of watches
 * must not grow with the fleet. All other calls go to the store. Confined to the event loop.
 *
 * <p>A follower does not depend on its leader: if it gets no response in time, or its leader cannot reach the store, it
 * asks the next instance or the store, see {@link SourceSelector}, and tries the leader again later. It goes on from the
 * revision it has reached, or reads a snapshot there, so that what crosses a link to the store does not grow with the
 * number of instances behind it.
 */
public final class FollowingStore implements KeyValueStore {
    /** Time for which a leader holds a request; with the margin below, the delay if the leader is unresponsive. */
    private static final long HOLD_MS = 700;

    /** Hold time of a request with load reports, which bounds the age of the reports exchanged. */
    private static final long LOAD_EXCHANGE_HOLD_MS = 400;

    /** Time beyond the hold time after which a request counts as failed. */
    private static final long RESPONSE_MARGIN_MS = 400;
    /**
     * Hold time of a watch in place of the leader's changes while the store does not respond. Such a watch may be lost,
     * and until it fails, this instance misses the changes that its leader receives after the return of the store.
     */
    private static final long HOLD_WITHOUT_STORE_MS = 300;

    /** Limits of a request to another instance, whose response may be long for its link. */
    private static final CallLimits REQUEST_LIMITS =
            new CallLimits(HOLD_MS + RESPONSE_MARGIN_MS, HOLD_MS, 4 * (HOLD_MS + RESPONSE_MARGIN_MS));

    private static final List<Header> HEADERS =
            List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"), GzipBody.ACCEPT);

    private final KeyValueStore store;
    private final EventLoopGroup loop;
    private final HttpConnector connector;
    private final SourceSelector sources;
    private final SourceReader reader;
    private final DecisionLog log;
    private final ChangeFeed feed;
    private final Map<InetSocketAddress, ApiClient> clients = new HashMap<>();
    /** Instances that have failed since their last useful response; a failure is logged once. */
    private final Set<InetSocketAddress> failedInstances = new HashSet<>();

    private String loadsPrefix = "";
    private LoadExchange loadExchange = LoadExchange.NONE;
    private boolean storeUnavailable;

    /**
     * Creates the store.
     *
     * @param sources instances that may be asked for the changes
     */
    public FollowingStore(
            KeyValueStore store,
            EventLoopGroup loop,
            HttpConnector connector,
            Supplier<ChangeSources> sources,
            TimeSource timeSource,
            DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.connector = connector;
        this.sources = new SourceSelector(sources, timeSource);
        this.reader = new SourceReader(this.sources, loop);
        this.log = log;
        this.feed = new ChangeFeed(loop, store.epoch(), timeSource, log);
    }

    /** Returns the handler of the requests of followers. */
    public RequestHandler feed() {
        return feed;
    }

    /** Returns whether a request to the control address comes from a follower. */
    public static boolean isFollowerRequest(String target) {
        return target.startsWith(ChangeFeed.PATH) || target.startsWith(ChangeFeed.SNAPSHOT_PATH);
    }

    /** Returns whether other instances receive changes from this one. */
    public boolean isFollowed() {
        return feed.isFollowed();
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
        return reader.read(new SourceReader.Read<>() {
            @Override
            public CompletableFuture<StoreChanges> fromInstance(InetSocketAddress address) {
                return follow(address, prefix, afterRevision);
            }

            @Override
            public CompletableFuture<StoreChanges> fromStore(boolean isFirst) {
                return watchStore(prefix, afterRevision, isFirst ? waitMs : fallbackHoldMs(waitMs));
            }

            @Override
            public boolean wasFromStore() {
                return feed.isReadFromStore(prefix);
            }
        });
    }

    private long fallbackHoldMs(long waitMs) {
        return feed.isStoreResponsive() ? waitMs : Math.min(waitMs, HOLD_WITHOUT_STORE_MS);
    }

    private ApiClient client(InetSocketAddress address) {
        return clients.computeIfAbsent(address, each -> new ApiClient(loop, connector, each));
    }

    /** Requests changes from another instance. */
    private CompletableFuture<StoreChanges> follow(InetSocketAddress address, String prefix, long afterRevision) {
        boolean withLoads = prefix.equals(loadsPrefix);
        String target = ChangeFeed.PATH + "?prefix=" + encoded(prefix) + "&after=" + afterRevision + "&wait_ms="
                + (withLoads ? LOAD_EXCHANGE_HOLD_MS : HOLD_MS);
        byte[] loadReports = withLoads
                ? Json.write(ChangeFormat.loads(loadExchange.recentLoads(ChangeFeed.LOAD_REPORT_MAX_AGE_MS, true)))
                : new byte[0];
        return ask(address, target, loadReports, response -> {
            ChangeFormat.Response decoded = ChangeFormat.decode(GzipBody.decode(response));
            loadExchange.merge(decoded.loads());
            feed.onFollowed(prefix, decoded.changes());
            return decoded.changes();
        });
    }

    private static String encoded(String prefix) {
        return URLEncoder.encode(prefix, StandardCharsets.UTF_8);
    }

    /** Decodes the successful response of another instance. */
    private interface ResponseDecoder<T> {
        T decode(ApiResponse response) throws JsonFormatException, StoreException;
    }

    private <T> CompletableFuture<T> ask(
            InetSocketAddress address, String target, byte[] body, ResponseDecoder<T> decoder) {
        return client(address)
                .call("POST", target, HEADERS, body, REQUEST_LIMITS)
                .handle((response, failure) -> {
                    try {
                        if (failure != null) {
                            throw instanceFailed(
                                    address, StoreException.Kind.UNKNOWN, String.valueOf(failure.getMessage()));
                        }
                        checkStatus(address, response.status());
                        T decoded = decoder.decode(response);
                        failedInstances.remove(address);
                        return decoded;
                    } catch (JsonFormatException e) {
                        throw new CompletionException(
                                instanceFailed(address, StoreException.Kind.NOT_DONE, String.valueOf(e.getMessage())));
                    } catch (StoreException e) {
                        throw new CompletionException(e);
                    }
                });
    }

    private void checkStatus(InetSocketAddress address, int status) throws StoreException {
        if (status == ChangeFeed.STATUS_SNAPSHOT_NEEDED) {
            throw new StoreException(StoreException.Kind.HISTORY_LOST, address + ": status " + status);
        }
        if (status == ChangeFeed.STATUS_NOT_COVERED) {
            sources.pauseRefusing(address);
            throw new StoreException(StoreException.Kind.NOT_DONE, address + ": status " + status);
        }
        if (status != 200) {
            throw instanceFailed(address, StoreException.Kind.NOT_DONE, "status " + status);
        }
    }

    private StoreException instanceFailed(InetSocketAddress address, StoreException.Kind kind, String cause) {
        long pauseMs = kind == StoreException.Kind.UNKNOWN
                ? sources.pauseUnresponsive(address, feed.isStoreResponsive())
                : sources.pauseRefusing(address);
        if (failedInstances.add(address)) {
            log.record(EventCode.MEMBER_SUSPECTED, address.toString(), "cause", cause, "pause_ms", pauseMs);
        }
        return new StoreException(kind, address + ": " + cause);
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

    /**
     * Records whether the store responds, by which the feed decides whether empty responses may be sent, and the selector
     * whether the store is asked. The renewals of leases, which are short and frequent, show that the store is back.
     */
    private <T> CompletableFuture<T> recordResponse(CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> {
            if (failure == null) {
                feed.onStoreResponse();
            }
            storeUnavailable = failure != null && !isResponse(StoreException.kindOf(failure));
            if (storeUnavailable) {
                sources.pauseStore();
            } else {
                sources.resumeStore();
            }
        });
    }

    private static boolean isResponse(StoreException.Kind kind) {
        return kind != StoreException.Kind.NOT_DONE && kind != StoreException.Kind.UNKNOWN;
    }

    /**
     * Returns whether the last call of the store by this instance failed. Its watches may work all the same, because it
     * follows another instance.
     */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> get(String key) {
        return recordResponse(store.get(key));
    }

    @Override
    public CompletableFuture<StoreSnapshot> list(String prefix) {
        return reader.read(new SourceReader.Read<>() {
            @Override
            public CompletableFuture<StoreSnapshot> fromInstance(InetSocketAddress address) {
                return listFrom(address, prefix);
            }

            @Override
            public CompletableFuture<StoreSnapshot> fromStore(boolean isFirst) {
                return listStore(prefix);
            }

            @Override
            public boolean wasFromStore() {
                return feed.isReadFromStore(prefix);
            }
        });
    }

    private CompletableFuture<StoreSnapshot> listStore(String prefix) {
        return recordResponse(store.list(prefix)).whenComplete((snapshot, failure) -> {
            if (failure == null) {
                feed.onWatchConfirmed(prefix);
                feed.onSnapshot(prefix, snapshot);
            }
        });
    }

    /** Reads a snapshot of another instance, unless it is older than what this instance knows. */
    private CompletableFuture<StoreSnapshot> listFrom(InetSocketAddress address, String prefix) {
        return ask(address, ChangeFeed.SNAPSHOT_PATH + "?prefix=" + encoded(prefix), new byte[0], response -> {
            StoreSnapshot snapshot = ChangeFormat.decodeSnapshot(GzipBody.decode(response));
            boolean current = store.epoch().observe(StoreRevision.epochOf(snapshot.revision()));
            if (!current || snapshot.revision() < feed.revisionOf(prefix)) {
                sources.pauseRefusing(address);
                throw new StoreException(
                        StoreException.Kind.NOT_DONE, address + ": outdated revision " + snapshot.revision());
            }
            feed.onSnapshot(prefix, snapshot);
            return snapshot;
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
