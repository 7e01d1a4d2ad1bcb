package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.quarantine.CrashRecord;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.quarantine.CrashFormat;
import org.cranberrybend.entry.quarantine.QuarantineService;

/**
 * Spreads crash records among all instances without the store, by gossip: an instance sends new crashes to a few others
 * at random for some rounds, and all records when its quarantines have changed. While it has any records, it also
 * compares digests with one other instance regularly, and both exchange their records if these differ. The messages of
 * an instance do not grow with the fleet, and their size is bounded; the time until all instances know grows with the
 * logarithm of their number. Confined to the event loop.
 *
 * <p>An instance without records asks others after its start, after a pause of its process and while the store is
 * unavailable to it, since it may have missed news then.
 */
public final class CrashExchange implements RequestHandler {
    private static final String PATH = "/fleet/crashes?digest=";
    /** Instances that receive news in each round. */
    private static final int FAN_OUT = 3;

    /** Time for which news are sent, once in each tick. */
    private static final long NEWS_MS = 1_000;

    private static final long COMPARE_INTERVAL_MS = 1_000;
    /** Time between two ticks that shows that the process was paused. */
    private static final long PAUSE_MS = 1_500;

    private static final byte[] EMPTY = {};

    private final QuarantineService quarantine;
    private final RandomPeers peers;
    private final BooleanSupplier storeUnavailable;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private long nextCompareMs = Long.MIN_VALUE;
    private long lastTickMs;
    /** Whether news may have been missed since another instance responded last. */
    private boolean mayHaveMissedNews = true;

    /**
     * Creates the exchange.
     *
     * @param random chooses the instances that receive news; generators with similar seeds would choose the same ones
     */
    public CrashExchange(
            EventLoopGroup loop,
            HttpConnector connector,
            QuarantineService quarantine,
            Supplier<Set<InetSocketAddress>> peers,
            BooleanSupplier storeUnavailable,
            TimeSource timeSource,
            DecisionLog log,
            Random random) {
        this.quarantine = quarantine;
        this.peers = new RandomPeers(loop, connector, peers, random);
        this.storeUnavailable = storeUnavailable;
        this.timeSource = timeSource;
        this.log = log;
        this.lastTickMs = timeSource.monotonicMs();
    }

    /** Returns whether a request to the control address belongs to this exchange. */
    public static boolean isExchangeRequest(String target) {
        return target.startsWith(PATH);
    }

    /** Sends news, or compares knowledge with another instance if that is due. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        mayHaveMissedNews |= nowMs - lastTickMs >= PAUSE_MS || storeUnavailable.getAsBoolean();
        lastTickMs = nowMs;
        quarantine.expire();
        List<CrashRecord> news = newsAt(nowMs);
        if (!news.isEmpty()) {
            byte[] message = CrashFormat.encode(news, nowMs);
            peers.draw(FAN_OUT).forEach(peer -> send(peer, message));
        } else if (nowMs >= nextCompareMs && (mayHaveMissedNews || quarantine.digest() != 0)) {
            nextCompareMs = nowMs + COMPARE_INTERVAL_MS;
            peers.draw(mayHaveMissedNews ? FAN_OUT : 1).forEach(peer -> send(peer, EMPTY));
        }
    }

    private List<CrashRecord> newsAt(long nowMs) {
        return quarantine.quarantinesChangedMs() >= nowMs - NEWS_MS
                ? quarantine.records()
                : quarantine.recordsExtendedSince(nowMs - NEWS_MS);
    }

    private void send(InetSocketAddress peer, byte[] records) {
        String target = PATH + Long.toHexString(quarantine.digest());
        peers.post(peer, target, records).whenComplete((response, failure) -> {
            if (failure == null) {
                onResponse(peer, response, records.length > 0);
            }
        });
    }

    /** Returns the number of calls to other instances that have no response yet. */
    int pendingCalls() {
        return peers.pendingCalls();
    }

    private void onResponse(InetSocketAddress peer, ApiResponse response, boolean sentRecords) {
        if (response.status() != 200) {
            return;
        }
        mayHaveMissedNews = false;
        if (response.body().length == 0) {
            return;
        }
        merge(response.body(), peer.toString());
        if (!sentRecords && quarantine.digest() != 0) {
            send(peer, CrashFormat.encode(quarantine.records(), timeSource.monotonicMs()));
        }
    }

    private boolean merge(byte[] records, String source) {
        try {
            quarantine.merge(CrashFormat.decode(records, timeSource.monotonicMs()), source);
            return true;
        } catch (JsonFormatException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, "crash records", "source", source, "cause", e.getMessage());
            return false;
        }
    }

    @Override
    public void handle(ReceivedRequest request, ServerExchange exchange) {
        if (request.body().length > 0 && !merge(request.body(), "another instance")) {
            exchange.respond(400, "Bad Request", List.of(), EMPTY);
            return;
        }
        String digest = request.head().getRequestUri().substring(PATH.length());
        boolean equal = digest.equals(Long.toHexString(quarantine.digest()));
        byte[] records = equal ? EMPTY : CrashFormat.encode(quarantine.records(), timeSource.monotonicMs());
        exchange.respond(200, "OK", RandomPeers.JSON, records);
    }
}
