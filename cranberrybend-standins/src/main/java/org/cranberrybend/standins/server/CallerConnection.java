package org.cranberrybend.standins.server;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;

/**
 * A connection of a caller, with the operations that simulate faults. {@link #isDisconnected()} and {@link #awaitDisconnect()} may be
 * called only by the thread that handles the current request, because they read ahead on the connection.
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

    /** Closes the connection without ending the response; bytes that were flushed before still reach the caller. */
    public void abort() {
        try {
            socket.get().close();
        } catch (IOException ignored) {
            // The socket is closed or unusable; both end the connection.
        }
    }

    /** Marks the connection as one that delivers no more data in either direction. */
    public void stall() {
        stalled = true;
    }

    /** Returns whether the connection delivers no more data. */
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
