package org.cranberrybend.entry.fleet;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.upstream.RateLimitReport;
import org.cranberrybend.entry.upstream.RateLimits;

/**
 * Spreads the rate limits of upstreams among all instances without the store, by gossip. An upstream with a limit sends
 * responses to a few instances only, so the others learn from these that the limit has begun, changed or ended. After a
 * change, an instance exchanges what it knows with a few others for some rounds; while it knows limits, it does so with
 * one other instance regularly. The messages of an instance do not grow with the fleet, and their size is bounded.
 * Confined to the event loop.
 *
 * <p>An instance asks others after its start and after a pause of its process, since it may not know a limit then.
 */
public final class RateLimitExchange implements RequestHandler {
    private static final String PATH = "/fleet/rate-limits";
    /** Instances that receive a change in each round. */
    private static final int FAN_OUT = 2;
    /** Time for which a change is sent. */
    private static final long CHANGE_MS = 1_000;

    private static final long COMPARE_INTERVAL_MS = 1_000;
    /** Time between two ticks that shows that the process was paused. */
    private static final long PAUSE_MS = 1_500;

    private static final byte[] EMPTY = {};

    private final RateLimits limits;
    private final RandomPeers peers;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private long nextCompareMs = Long.MIN_VALUE;
    private long lastTickMs;
    /** Whether a limit may have been missed since another instance responded last. */
    private boolean mayHaveMissedLimits = true;

    /**
     * Creates the exchange.
     *
     * @param random chooses the instances; generators with similar seeds would choose the same ones
     */
    public RateLimitExchange(
            EventLoopGroup loop,
            HttpConnector connector,
            RateLimits limits,
            Supplier<Set<InetSocketAddress>> peers,
            TimeSource timeSource,
            DecisionLog log,
            Random random) {
        this.limits = limits;
        this.peers = new RandomPeers(loop, connector, peers, random);
        this.timeSource = timeSource;
        this.log = log;
        this.lastTickMs = timeSource.monotonicMs();
    }

    /** Returns whether a request to the control address belongs to this exchange. */
    public static boolean isExchangeRequest(String target) {
        return target.equals(PATH);
    }

    /** Exchanges limits with other instances if that is due. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        mayHaveMissedLimits |= nowMs - lastTickMs >= PAUSE_MS;
        lastTickMs = nowMs;
        boolean changed = nowMs - limits.lastChangeMs() <= CHANGE_MS;
        if (!changed && nowMs < nextCompareMs) {
            return;
        }
        nextCompareMs = nowMs + COMPARE_INTERVAL_MS;
        byte[] known = encodedLimits();
        if (changed || mayHaveMissedLimits) {
            peers.draw(FAN_OUT).forEach(peer -> exchange(peer, known));
        } else if (known.length > 0) {
            peers.draw(1).forEach(peer -> exchange(peer, known));
        }
    }

    /** Returns the number of calls to other instances that have no response yet. */
    int pendingCalls() {
        return peers.pendingCalls();
    }

    private byte[] encodedLimits() {
        List<RateLimitReport> reports = limits.reports();
        return reports.isEmpty() ? EMPTY : RateLimitFormat.encode(reports);
    }

    private void exchange(InetSocketAddress peer, byte[] known) {
        peers.post(peer, PATH, known).whenComplete((response, failure) -> {
            if (failure == null) {
                onResponse(peer, response);
            }
        });
    }

    private void onResponse(InetSocketAddress peer, ApiResponse response) {
        if (response.status() == 200) {
            mayHaveMissedLimits = false;
            merge(response.body(), peer.toString());
        }
    }

    private boolean merge(byte[] reports, String source) {
        if (reports.length == 0) {
            return true;
        }
        try {
            limits.merge(RateLimitFormat.decode(reports));
            return true;
        } catch (JsonFormatException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, "rate limits", "source", source, "cause", e.getMessage());
            return false;
        }
    }

    @Override
    public void handle(ReceivedRequest request, ServerExchange exchange) {
        // The response must not repeat what the caller has just sent.
        byte[] known = encodedLimits();
        if (merge(request.body(), "another instance")) {
            exchange.respond(200, "OK", RandomPeers.JSON, known);
        } else {
            exchange.respond(400, "Bad Request", List.of(), EMPTY);
        }
    }
}
