package org.cranberrybend.router.dispatch;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.time.TimeSource;

/**
 * Pool of idle connections to upstreams.
 *
 * <p>The lock is held for map operations only; connections are opened, checked and closed without it.
 */
final class UpstreamPool {
    // Shorter than the time after which the network path may silently drop an idle connection.
    static final long MAX_IDLE_MS = 15_000;
    private static final int MAX_IDLE_PER_UPSTREAM = 32;

    private final TimeSource timeSource;
    private final long connectTimeoutMs;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

    UpstreamPool(TimeSource timeSource, long connectTimeoutMs) {
        this.timeSource = timeSource;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** Returns an idle connection, or a new one if there is none or reuse is not allowed. */
    UpstreamConnection lease(String host, int port, boolean reuse) throws IOException {
        String address = host + ":" + port;
        while (reuse) {
            UpstreamConnection candidate = takeIdle(address);
            if (candidate == null) {
                break;
            }
            if (timeSource.monotonicMs() - candidate.releasedAtMs() < MAX_IDLE_MS && candidate.isReusable()) {
                return candidate;
            }
            candidate.close();
        }
        return UpstreamConnection.open(host, port, connectTimeoutMs, timeSource);
    }

    private UpstreamConnection takeIdle(String address) {
        synchronized (idle) {
            Deque<UpstreamConnection> connections = idle.get(address);
            return connections == null ? null : connections.pollLast();
        }
    }

    /** Returns a connection to the pool after a complete response, or closes it if it has unread input. */
    void release(UpstreamConnection connection) {
        connection.endCall();
        connection.setReleasedAtMs(timeSource.monotonicMs());
        boolean kept = connection.hasNoUnreadInput() && addIdle(connection);
        if (!kept) {
            connection.close();
        }
    }

    private boolean addIdle(UpstreamConnection connection) {
        synchronized (idle) {
            Deque<UpstreamConnection> connections =
                    idle.computeIfAbsent(connection.address(), ignored -> new ArrayDeque<>());
            if (connections.size() >= MAX_IDLE_PER_UPSTREAM) {
                return false;
            }
            connections.addLast(connection);
            return true;
        }
    }

    /** Closes the connections that exceeded the maximum idle time. */
    void closeExpired() {
        long oldestMs = timeSource.monotonicMs() - MAX_IDLE_MS;
        closeReleasedUntil(oldestMs);
    }

    void closeAll() {
        closeReleasedUntil(Long.MAX_VALUE);
    }

    /**
     * Closes all idle connections after a read timeout on a reused one. If the network path silently dropped that one,
     * it probably dropped others too, and each would cost a request its read timeout.
     */
    void closeAllAfterReadTimeout() {
        closeReleasedUntil(Long.MAX_VALUE);
    }

    private void closeReleasedUntil(long releasedUntilMs) {
        List<UpstreamConnection> dropped = new ArrayList<>();
        synchronized (idle) {
            idle.values()
                    .forEach(connections ->
                            connections.removeIf(each -> each.releasedAtMs() <= releasedUntilMs && dropped.add(each)));
            idle.values().removeIf(Deque::isEmpty);
        }
        dropped.forEach(UpstreamConnection::close);
    }

    int idleCount() {
        synchronized (idle) {
            return idle.values().stream().mapToInt(Deque::size).sum();
        }
    }
}
