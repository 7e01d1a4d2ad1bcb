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
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
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

/**
 * Passes on what this instance sees in the store to the instances of its zone that follow it. Confined to the event
 * loop.
 *
 * <p>A follower takes silence for "nothing has changed", so an empty reply is given only shortly after the store has
 * answered this instance. A prefix that this instance itself follows through another one is not passed on.
 */
final class ChangeFeed implements RequestHandler {
    static final String PATH = "/fleet/changes";
    /** Time since the last answer of the store up to which an empty reply is given. */
    private static final long EVIDENCE_MS = 1_000;

    /** Age up to which figures of loads are told. */
    static final long LOADS_MAX_AGE_MS = 1_000;

    private static final int NOT_COVERED = 409;
    private static final int STORE_NOT_HEARD = 503;

    private final ScheduledExecutorService loop;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Map<String, Prefix> prefixes = new HashMap<>();
    private LoadExchange loads = LoadExchange.NONE;
    private long storeHeardMs = Long.MIN_VALUE / 2;

    /** What is known of one prefix, and who waits for more. */
    private static final class Prefix {
        private final ChangeLog log = new ChangeLog();
        private final List<Follower> followers = new ArrayList<>();
        private Predicate<StoreChange> isNews = change -> true;
        private boolean watched;
    }

    private static final class Follower {
        private final ServerExchange exchange;
        private final long afterRevision;
        private ScheduledFuture<?> timer;

        Follower(ServerExchange exchange, long afterRevision) {
            this.exchange = exchange;
            this.afterRevision = afterRevision;
        }
    }

    ChangeFeed(ScheduledExecutorService loop, TimeSource timeSource, DecisionLog log) {
        this.loop = loop;
        this.log = log;
        this.timeSource = timeSource;
    }

    private Prefix of(String prefix) {
        return prefixes.computeIfAbsent(prefix, name -> new Prefix());
    }

    /** Sets which changes under a prefix are worth passing on. */
    void passOnly(String prefix, Predicate<StoreChange> isNews) {
        of(prefix).isNews = isNews;
    }

    /** Sets what is exchanged of the upstreams' loads. */
    void exchangeLoads(LoadExchange exchange) {
        loads = exchange;
    }

    /** Takes note of an answer of the store. */
    void storeHeard() {
        storeHeardMs = timeSource.monotonicMs();
    }

    /** Takes note that this instance watches a prefix itself, from a revision up to which it knows all changes. */
    void watching(String prefix, long afterRevision) {
        Prefix known = of(prefix);
        known.watched = true;
        known.log.append(afterRevision, afterRevision, List.of());
    }

    /** Takes note that this instance follows another one for a prefix. */
    void following(String prefix) {
        of(prefix).watched = false;
    }

    /** Takes the changes that the store sent after a revision, before this instance has acted on them. */
    void append(String prefix, long afterRevision, StoreChanges changes) {
        Prefix known = of(prefix);
        List<StoreChange> news = new ArrayList<>();
        // What differs is judged against the state before all of these changes, so a key may change and change back.
        Set<String> changedKeys = new HashSet<>();
        for (StoreChange change : changes.changes()) {
            if (changedKeys.contains(change.key()) || known.isNews.test(change)) {
                changedKeys.add(change.key());
                news.add(change);
            }
        }
        known.log.append(afterRevision, changes.revision(), news);
        if (news.isEmpty()) {
            return;
        }
        List<Follower> waiting = new ArrayList<>(known.followers);
        known.followers.clear();
        for (Follower follower : waiting) {
            follower.timer.cancel(false);
            answer(known, follower.exchange, follower.afterRevision);
        }
    }

    @Override
    public void handle(ReceivedRequest request, ServerExchange exchange) {
        takeLoads(request.body());
        Map<String, String> query = query(request.head().getRequestUri());
        long afterRevision;
        long waitMs;
        try {
            afterRevision = Long.parseLong(query.getOrDefault("after", ""));
            waitMs = Long.parseLong(query.getOrDefault("wait_ms", ""));
        } catch (NumberFormatException e) {
            refuse(exchange, 400, "Bad Request");
            return;
        }
        Prefix known = prefixes.get(query.getOrDefault("prefix", ""));
        Optional<StoreChanges> later =
                known == null || !known.watched ? Optional.empty() : known.log.since(afterRevision);
        if (later.isEmpty()) {
            refuse(exchange, NOT_COVERED, "Conflict");
        } else if (!later.get().changes().isEmpty()) {
            send(exchange, later.get());
        } else {
            await(known, exchange, afterRevision, waitMs);
        }
    }

    private void await(Prefix known, ServerExchange exchange, long afterRevision, long waitMs) {
        Follower follower = new Follower(exchange, afterRevision);
        known.followers.add(follower);
        exchange.onCallerDisconnected(() -> {
            follower.timer.cancel(false);
            known.followers.remove(follower);
        });
        follower.timer = loop.schedule(
                () -> {
                    known.followers.remove(follower);
                    answer(known, exchange, afterRevision);
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private void answer(Prefix known, ServerExchange exchange, long afterRevision) {
        Optional<StoreChanges> later = known.watched ? known.log.since(afterRevision) : Optional.empty();
        boolean heard = timeSource.monotonicMs() - storeHeardMs <= EVIDENCE_MS;
        if (later.isEmpty()) {
            refuse(exchange, NOT_COVERED, "Conflict");
        } else if (later.get().changes().isEmpty() && !heard) {
            refuse(exchange, STORE_NOT_HEARD, "Service Unavailable");
        } else {
            send(exchange, later.get());
        }
    }

    private void takeLoads(byte[] body) {
        if (body.length == 0) {
            return;
        }
        try {
            loads.take(ChangeFormat.readLoads(Json.readObject(body)));
        } catch (JsonFormatException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, "loads of a follower", "cause", String.valueOf(e.getMessage()));
        }
    }

    private void send(ServerExchange exchange, StoreChanges changes) {
        exchange.respond(
                200,
                "OK",
                List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json")),
                ChangeFormat.encode(changes, loads.heard(LOADS_MAX_AGE_MS, false)));
    }

    private static void refuse(ServerExchange exchange, int status, String reason) {
        exchange.respond(status, reason, List.of(), new byte[0]);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        String query = URI.create(target).getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
