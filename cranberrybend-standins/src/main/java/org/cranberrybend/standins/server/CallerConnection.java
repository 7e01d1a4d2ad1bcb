package org.cranberrybend.standins.server;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;

/**
 * A caller's connection, with operations for fault injection. Only the thread that handles the current request may call
 * {@link #isDisconnected()} and {@link #awaitDisconnect()}, because they read ahead on the connection.
 */
public final class CallerConnection extends DefaultBHttpServerConnection {
    private static final int DISCONNECT_CHECK_INTERVAL_MS = 20;

    private final AtomicReference<Socket> socket = new AtomicReference<>();
    private volatile boolean stalled;

    CallerConnection(Http1Config config) {
        super("http", config);
    }

    @Override
    public void bind(Socket newSocket) throws IOException {
        socket.set(newSocket);
        super.bind(newSocket);
    }

    /** Returns whether the caller has closed the connection. Waits up to 1 ms for the end of the stream. */
    public boolean isDisconnected() {
        try {
            return isStale();
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the connection without completing the response; bytes already flushed still reach the caller. */
    public void abort() {
        try {
            socket.get().close();
        } catch (IOException ignored) {
            // The socket is already closed or unusable; the connection has ended in both cases.
        }
    }

    /** Marks the connection as stalled: no more data is delivered in either direction. */
    public void stall() {
        stalled = true;
    }

    /** Returns whether the connection is stalled. */
    public boolean isStalled() {
        return stalled;
    }

    /** Waits until the caller closes the connection or the server stops. */
    public void awaitDisconnect() throws IOException {
        try {
            while (!isDisconnected()) {
                Thread.sleep(DISCONNECT_CHECK_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the caller to disconnect", e);
        }
    }
}
