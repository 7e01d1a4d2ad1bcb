package org.cranberrybend.entry.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ClientConnection;
import org.cranberrybend.entry.http.HttpConnector;

/**
 * Connections of this process to one upstream. Confined to the event loop.
 *
 * <p>The connection that was idle for the longest time is used first: a late extra response to its last request has had
 * the most time to arrive and end it.
 */
public final class ConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 600;
    /** Idle time after which a connection is not used if the upstream did not say how long it keeps one. */
    private static final long DEFAULT_IDLE_LIMIT_MS = 4_000;
    /** Share of the announced idle time for which a connection is used; the close may be on its way before the end. */
    private static final double IDLE_USE_SHARE = 0.6;

    private static final long MIN_IDLE_USE_MS = 300;

    private record Idle(ClientConnection connection, long sinceMs) {}

    private final HttpConnector connector;
    private final InetSocketAddress address;
    private final TimeSource timeSource;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    /** Creates a pool without connections. */
    public ConnectionPool(HttpConnector connector, InetSocketAddress address, TimeSource timeSource) {
        this.connector = connector;
        this.address = address;
        this.timeSource = timeSource;
    }

    /** Returns the number of connections that are open or being opened. */
    public int openConnections() {
        return openConnections;
    }

    /** Takes an idle connection or opens one; returns a handle that abandons an attempt to connect. */
    public Runnable acquire(HttpConnector.Listener listener) {
        long nowMs = timeSource.monotonicMs();
        while (!idle.isEmpty()) {
            Idle next = idle.pollFirst();
            if (next.connection.isOpen() && nowMs - next.sinceMs < useLimitMs(next.connection)) {
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
        };
        Runnable abandon = connector.connect(address, CONNECT_TIMEOUT_MS, this::onClosed, counted);
        return () -> {
            if (pending[0]) {
                pending[0] = false;
                openConnections--;
                abandon.run();
            }
        };
    }

    private void onClosed(ClientConnection connection) {
        openConnections--;
        idle.removeIf(each -> each.connection == connection);
    }

    private static long useLimitMs(ClientConnection connection) {
        long announcedMs = connection.idleLimitMs();
        return announcedMs < 0
                ? DEFAULT_IDLE_LIMIT_MS
                : Math.max(MIN_IDLE_USE_MS, (long) (announcedMs * IDLE_USE_SHARE));
    }

    /** Gives back a connection whose response is complete. */
    public void release(ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        if (closed) {
            connection.close();
        } else {
            idle.addLast(new Idle(connection, timeSource.monotonicMs()));
        }
    }

    /** Closes the idle connections, because one of them turned out to be silent or stale. */
    public void discardIdle() {
        idle.forEach(each -> each.connection.close());
        idle.clear();
    }

    /** Closes the idle connections and each other one as soon as it is given back. */
    public void close() {
        closed = true;
        discardIdle();
    }
}
