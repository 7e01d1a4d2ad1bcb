package org.cranberrybend.entry.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ClientConnection;
import org.cranberrybend.entry.http.HttpConnector;

/**
 * The connections of this process to one upstream. Confined to the event loop.
 *
 * <p>The connection that has been idle for the longest time is reused first. A surplus response to its previous
 * request, which closes the connection, has then had the most time to arrive.
 */
public final class ConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 600;
    /** Idle time after which a connection is not reused if the upstream announced no idle timeout. */
    private static final long DEFAULT_REUSE_LIMIT_MS = 4_000;
    /** Fraction of the announced idle timeout during which a connection is reused; later a close may be in transit. */
    private static final double REUSE_RATIO = 0.6;

    private static final long MIN_REUSE_MS = 300;

    private record IdleConnection(ClientConnection connection, long sinceMs) {}

    private final HttpConnector connector;
    private final InetSocketAddress address;
    private final TimeSource timeSource;
    private final Deque<IdleConnection> idle = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    /** Creates a pool without connections. */
    public ConnectionPool(HttpConnector connector, InetSocketAddress address, TimeSource timeSource) {
        this.connector = connector;
        this.address = address;
        this.timeSource = timeSource;
    }

    /** Returns the number of connections that are open or being established. */
    public int openConnections() {
        return openConnections;
    }

    /**
     * Passes an idle or a new connection to the listener; returns a handle that cancels a pending connection attempt.
     */
    public Runnable acquire(HttpConnector.Listener listener) {
        long nowMs = timeSource.monotonicMs();
        while (!idle.isEmpty()) {
            IdleConnection next = idle.pollFirst();
            if (next.connection.isOpen() && nowMs - next.sinceMs < reuseLimitMs(next.connection)) {
                listener.onConnected(next.connection);
                return () -> {};
            }
            next.connection.close();
        }
        openConnections++;
        boolean[] pending = {true};
        HttpConnector.Listener counted = new HttpConnector.Listener() {
            @Override
            public void onConnected(ClientConnection connection) {
                pending[0] = false;
                listener.onConnected(connection);
            }

            @Override
            public void onFailure(String cause) {
                pending[0] = false;
                openConnections--;
                listener.onFailure(cause);
            }

            @Override
            public void onRefused(String cause) {
                pending[0] = false;
                openConnections--;
                listener.onRefused(cause);
            }
        };
        Runnable cancel = connector.connect(address, CONNECT_TIMEOUT_MS, this::onClosed, counted);
        return () -> {
            if (pending[0]) {
                pending[0] = false;
                openConnections--;
                cancel.run();
            }
        };
    }

    private void onClosed(ClientConnection connection) {
        openConnections--;
        idle.removeIf(each -> each.connection == connection);
    }

    private static long reuseLimitMs(ClientConnection connection) {
        long announcedTimeoutMs = connection.idleTimeoutMs();
        return announcedTimeoutMs < 0
                ? DEFAULT_REUSE_LIMIT_MS
                : Math.max(MIN_REUSE_MS, (long) (announcedTimeoutMs * REUSE_RATIO));
    }

    /** Returns a connection whose response is complete to the pool. */
    public void release(ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        if (closed) {
            connection.close();
        } else {
            idle.addLast(new IdleConnection(connection, timeSource.monotonicMs()));
        }
    }

    /** Closes the idle connections, which may be unresponsive or stale like a connection that has just failed. */
    public void discardIdle() {
        idle.forEach(each -> each.connection.close());
        idle.clear();
    }

    /** Keeps connections again after {@link #close}. */
    void reopen() {
        closed = false;
    }

    /** Closes the idle connections, and each connection in use as soon as it is released. */
    public void close() {
        closed = true;
        discardIdle();
    }
}
