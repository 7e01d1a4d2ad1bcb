package org.cranberrybend.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Forwards connections to an address and injects link faults. */
final class LoopbackProxy implements AutoCloseable {
    /** How bytes are forwarded. */
    enum Mode {
        FORWARDING,
        DELAYING,
        /** Bytes to the target are dropped, those from it are forwarded. */
        DROPPING_TO_TARGET,
        /** Bytes from the target are dropped, those to it are forwarded. */
        DROPPING_FROM_TARGET,
        DROPPING_ALL
    }

    private static final long DELAY_MS = 120;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.FORWARDING;
    private volatile boolean refusing;

    LoopbackProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Sets whether new connections are reset instead of forwarded. */
    void setRefusing(boolean isRefusing) {
        refusing = isRefusing;
    }

    /** Resets all open connections. */
    void resetConnections() {
        openSockets.forEach(LoopbackProxy::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                if (refusing) {
                    reset(client);
                    continue;
                }
                Socket server = new Socket();
                openSockets.add(client);
                openSockets.add(server);
                server.connect(target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                threads.execute(() -> pump(client, server, true));
                threads.execute(() -> pump(server, client, false));
            } catch (IOException e) {
                // The proxy is closed, or the target does not listen: then the client gets no response, and its
                // connection stays open until the connections are reset.
                removeUnconnected();
            }
        }
    }

    private void removeUnconnected() {
        for (Socket socket : openSockets) {
            if (!socket.isConnected()) {
                openSockets.remove(socket);
            }
        }
    }

    private boolean isDropping(boolean toTarget) {
        Mode current = mode;
        return current == Mode.DROPPING_ALL
                || current == (toTarget ? Mode.DROPPING_TO_TARGET : Mode.DROPPING_FROM_TARGET);
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean dropping = false;
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                // A connection that has lost bytes cannot be resumed: its byte stream would have a gap.
                dropping |= isDropping(toTarget);
                if (mode == Mode.DELAYING) {
                    Thread.sleep(DELAY_MS);
                }
                if (!dropping) {
                    output.write(buffer, 0, count);
                }
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(from);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetConnections();
        threads.shutdownNow();
    }
}
