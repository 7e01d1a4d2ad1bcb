package org.cranberrybend.entry.fleet;

import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;

/**
 * Serves store changes to the followers of this instance by long polling, and snapshots to those whose last revision is
 * before the first change that this instance has kept. Confined to the event loop.
 *
 * <p>A follower takes an empty response as proof that nothing has changed, so one is sent only if this instance's own
 * watch of the prefix has not failed since its last response, and the store has responded to this instance recently. The
 * former shows a watch whose connection is silent while other calls succeed; the latter shows sooner that this instance
 * is cut off. The same holds for a snapshot. Prefixes that this instance itself reads through a leader are not served.
 * A follower of an earlier or later epoch of the store than the log of a prefix has to read a snapshot, or to wait until
 * this instance has read one.
 */
final class ChangeFeed implements RequestHandler {
    /** Differs from the path of versions whose revisions have no epoch: these would confirm any state of a later one. */
    static final String PATH = "/fleet/epoch-changes";

    /** Path of the snapshots that followers read if their last revision is too old. */
    static final String SNAPSHOT_PATH = "/fleet/epoch-snapshot";

    /** Largest time since the last response of the store at which an empty response is sent. */
    private static final long STORE_RESPONSE_MAX_AGE_MS = 1_500;

    /** Age up to which load reports are exchanged. */
    static final long LOAD_REPORT_MAX_AGE_MS = 1_000;

    /** Time after the last request of a follower that was not refused in which this instance counts as followed. */
    private static final long FOLLOWED_MS = 5_000;

    /** Status if this instance does not have the changes of a prefix. */
    static final int STATUS_NOT_COVERED = 409;
    /** Status if the changes since a revision are not kept, but a snapshot can be read here. */
    static final int STATUS_SNAPSHOT_NEEDED = 410;

    private static final int STATUS_STORE_UNAVAILABLE = 503;

    private final ScheduledExecutorService loop;
    private final StoreEpoch epoch;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Map<String, PrefixState> prefixes = new HashMap<>();
    private LoadExchange loadExchange = LoadExchange.NONE;
    private long lastStoreResponseMs = Long.MIN_VALUE / 2;
    private long lastFollowedMs = Long.MIN_VALUE / 2;

    /** Recent changes of one prefix, and the followers whose requests are held. */
    private static final class PrefixState {
        private final ChangeLog log = new ChangeLog();
        private final PrefixItems items = new PrefixItems();
        private final List<Follower> followers = new ArrayList<>();
        private Predicate<StoreChange> isRelevant = change -> true;
        private boolean watched;
        /** Whether the watch at the store has failed since the last watch or snapshot that succeeded. */
        private boolean watchFailed;
    }

    /** Response to followers that have the same revision. */
    private record ResponseKey(long afterRevision, boolean compressed) {}

    private static final class Follower {
        private final ServerExchange exchange;
        private final long afterRevision;
        private final boolean acceptsGzip;
        private ScheduledFuture<?> timer;

        Follower(ServerExchange exchange, long afterRevision, boolean acceptsGzip) {
            this.exchange = exchange;
            this.afterRevision = afterRevision;
            this.acceptsGzip = acceptsGzip;
        }
    }

    ChangeFeed(ScheduledExecutorService loop, StoreEpoch epoch, TimeSource timeSource, DecisionLog log) {
        this.loop = loop;
        this.epoch = epoch;
        this.log = log;
        this.timeSource = timeSource;
    }

    private PrefixState stateOf(String prefix) {
        return prefixes.computeIfAbsent(prefix, name -> new PrefixState());
    }

    /** Sets which changes under a prefix are sent to followers. */
    void setRelayFilter(String prefix, Predicate<StoreChange> filter) {
        stateOf(prefix).isRelevant = filter;
    }

    /** Sets the source and the target of the load reports that are exchanged with followers. */
    void setLoadExchange(LoadExchange exchange) {
        loadExchange = exchange;
    }

    /** Records that the store has responded to this instance. */
    void onStoreResponse() {
        lastStoreResponseMs = timeSource.monotonicMs();
    }

    /** Returns whether the store has responded to this instance recently. */
    boolean isStoreResponsive() {
        return timeSource.monotonicMs() - lastStoreResponseMs <= STORE_RESPONSE_MAX_AGE_MS;
    }

    /** Records that this instance watches a prefix at the store and has all changes up to a revision. */
    void onWatchStarted(String prefix, long afterRevision) {
        PrefixState state = stateOf(prefix);
        state.watched = true;
        state.log.append(afterRevision, afterRevision, List.of());
    }

    /** Records that the watch of a prefix at the store failed; the followers that wait get an error at once. */
    void onWatchFailed(String prefix) {
        PrefixState state = stateOf(prefix);
        state.watchFailed = true;
        respondToAll(state);
    }

    /** Records that this instance has received all items under a prefix, or all changes since a revision. */
    void onWatchConfirmed(String prefix) {
        stateOf(prefix).watchFailed = false;
    }

    /** Records all items under a prefix. */
    void onSnapshot(String prefix, StoreSnapshot snapshot) {
        stateOf(prefix).items.replace(snapshot);
    }

    /** Returns whether this instance has a prefix from the store, so that others may follow it. */
    boolean isReadFromStore(String prefix) {
        PrefixState state = stateOf(prefix);
        return state.watched && !state.watchFailed;
    }

    /** Returns the revision up to which this instance knows the items under a prefix; negative if it knows none. */
    long revisionOf(String prefix) {
        return stateOf(prefix).items.revision();
    }

    /** Returns whether another instance has recently received, or waited for, changes from this one. */
    boolean isFollowed() {
        return timeSource.monotonicMs() - lastFollowedMs <= FOLLOWED_MS;
    }

    /** Records that this instance has received changes of a prefix from another instance, and not from the store. */
    void onFollowed(String prefix, StoreChanges changes) {
        PrefixState state = stateOf(prefix);
        state.watched = false;
        state.items.apply(changes);
    }

    /** Adds the changes that the store sent after a revision. Called before this instance has applied them. */
    void append(String prefix, long afterRevision, StoreChanges changes) {
        PrefixState state = stateOf(prefix);
        List<StoreChange> relevant = new ArrayList<>();
        // The filter compares with the state before this batch. After a relevant change of a key, its further changes
        // in the batch are sent too: the last one may restore the old state, and a follower would miss that.
        Set<String> changedKeys = new HashSet<>();
        for (StoreChange change : changes.changes()) {
            if (changedKeys.contains(change.key()) || state.isRelevant.test(change)) {
                changedKeys.add(change.key());
                relevant.add(change);
            }
        }
        state.log.append(afterRevision, changes.revision(), relevant);
        state.items.apply(changes);
        if (!relevant.isEmpty()) {
            respondToAll(state);
        }
    }

    private void respondToAll(PrefixState state) {
        List<Follower> waiting = new ArrayList<>(state.followers);
        state.followers.clear();
        // Followers at the same revision get the same bytes: a copy of a large value for each would not fit the heap.
        Map<ResponseKey, byte[]> encoded = new HashMap<>();
        for (Follower follower : waiting) {
            follower.timer.cancel(false);
            respond(state, follower, encoded);
        }
    }

    @Override
    public void handle(ReceivedRequest request, ServerExchange exchange) {
        String target = request.head().getRequestUri();
        Map<String, String> query = query(target);
        PrefixState state = prefixes.get(query.getOrDefault("prefix", ""));
        if (target.startsWith(SNAPSHOT_PATH)) {
            sendSnapshot(state, request, exchange);
            return;
        }
        mergeLoads(request.body());
        long afterRevision;
        long waitMs;
        try {
            afterRevision = Long.parseLong(query.getOrDefault("after", ""));
            waitMs = Long.parseLong(query.getOrDefault("wait_ms", ""));
        } catch (NumberFormatException e) {
            sendError(exchange, 400, "Bad Request");
            return;
        }
        epoch.observe(StoreRevision.epochOf(afterRevision));
        if (state == null) {
            sendError(exchange, STATUS_NOT_COVERED, "Conflict");
            return;
        }
        Follower follower = new Follower(exchange, afterRevision, GzipBody.isAccepted(request));
        Optional<StoreChanges> changes = changesSince(state, afterRevision);
        boolean mayWait = changes.isPresent() && changes.get().changes().isEmpty() && !state.watchFailed;
        if (mayWait) {
            holdRequest(state, follower, waitMs);
        } else {
            respond(state, follower, new HashMap<>());
        }
    }

    /** Sends all items under a prefix under the same conditions as an empty response. */
    private void sendSnapshot(PrefixState state, ReceivedRequest request, ServerExchange exchange) {
        Optional<StoreSnapshot> snapshot = state == null ? Optional.empty() : knownItems(state);
        if (snapshot.isEmpty()) {
            sendError(exchange, STATUS_NOT_COVERED, "Conflict");
        } else if (!isConfirmed(state)) {
            sendError(exchange, STATUS_STORE_UNAVAILABLE, "Service Unavailable");
        } else {
            byte[] json = ChangeFormat.encode(snapshot.get());
            GzipBody.respond(exchange, GzipBody.encode(json, GzipBody.isAccepted(request)));
        }
    }

    /** Returns the items under a prefix if this instance reads it from the store. */
    private Optional<StoreSnapshot> knownItems(PrefixState state) {
        return state.watched
                ? state.items.snapshot().filter(each -> epoch.contains(each.revision()))
                : Optional.empty();
    }

    /** Returns whether what this instance knows of a prefix is up to date. */
    private boolean isConfirmed(PrefixState state) {
        return !state.watchFailed && isStoreResponsive();
    }

    /** Returns the changes after a revision; empty if they are not known, also for a revision of another epoch. */
    private Optional<StoreChanges> changesSince(PrefixState state, long afterRevision) {
        return state.watched && epoch.contains(afterRevision) ? state.log.since(afterRevision) : Optional.empty();
    }

    private void holdRequest(PrefixState state, Follower follower, long waitMs) {
        lastFollowedMs = timeSource.monotonicMs();
        state.followers.add(follower);
        follower.exchange.onCallerDisconnected(() -> {
            follower.timer.cancel(false);
            state.followers.remove(follower);
        });
        follower.timer = loop.schedule(
                () -> {
                    state.followers.remove(follower);
                    respond(state, follower, new HashMap<>());
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private void respond(PrefixState state, Follower follower, Map<ResponseKey, byte[]> encoded) {
        Optional<StoreChanges> changes = changesSince(state, follower.afterRevision);
        if (changes.isEmpty()) {
            boolean hasItems = knownItems(state).isPresent();
            sendError(
                    follower.exchange,
                    hasItems ? STATUS_SNAPSHOT_NEEDED : STATUS_NOT_COVERED,
                    hasItems ? "Gone" : "Conflict");
        } else if (changes.get().changes().isEmpty() && !isConfirmed(state)) {
            sendError(follower.exchange, STATUS_STORE_UNAVAILABLE, "Service Unavailable");
        } else {
            ResponseKey key = new ResponseKey(follower.afterRevision, follower.acceptsGzip);
            GzipBody.respond(
                    follower.exchange,
                    encoded.computeIfAbsent(key, each -> GzipBody.encode(encode(changes.get()), follower.acceptsGzip)));
        }
    }

    private void mergeLoads(byte[] body) {
        if (body.length == 0) {
            return;
        }
        try {
            loadExchange.merge(ChangeFormat.readLoads(Json.readObject(body)));
        } catch (JsonFormatException e) {
            log.record(
                    EventCode.UPSTREAM_UNREADABLE,
                    "load reports of a follower",
                    "cause",
                    String.valueOf(e.getMessage()));
        }
    }

    private byte[] encode(StoreChanges changes) {
        return ChangeFormat.encode(changes, loadExchange.recentLoads(LOAD_REPORT_MAX_AGE_MS, false));
    }

    private static void sendError(ServerExchange exchange, int status, String reason) {
        exchange.respond(status, reason, List.of(), new byte[0]);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        String query = URI.create(target).getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                values.put(
                        pair.substring(0, separator),
                        URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
