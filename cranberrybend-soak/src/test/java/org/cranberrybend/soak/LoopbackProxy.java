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

/** Passes connections on to an address, and disturbs them. */
final class LoopbackProxy implements AutoCloseable {
    /** What happens to bytes. */
    enum Mode {
        PASSING,
        DELAYING,
        /** Bytes towards the target are dropped, those that come back are passed. */
        SILENT_FORTH,
        /** Bytes from the target are dropped, those towards it are passed. */
        SILENT_BACK,
        SILENT
    }

    private static final long DELAY_MS = 120;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASSING;
    private volatile boolean refusing;

    LoopbackProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setMode(Mode next) {
        mode = next;
    }

    /** Resets new connections instead of passing them on, or ends that. */
    void setRefusing(boolean isRefusing) {
        refusing = isRefusing;
    }

    /** Resets all open connections. */
    void resetConnections() {
        open.forEach(LoopbackProxy::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                if (refusing) {
                    reset(caller);
                    continue;
                }
                Socket callee = new Socket();
                open.add(caller);
                open.add(callee);
                callee.connect(target);
                caller.setTcpNoDelay(true);
                callee.setTcpNoDelay(true);
                threads.execute(() -> pump(caller, callee, true));
                threads.execute(() -> pump(callee, caller, false));
            } catch (IOException e) {
                // The proxy is closed, or the target does not listen; the caller sees a closed connection.
                resetUnconnected();
            }
        }
    }

    private void resetUnconnected() {
        for (Socket socket : open) {
            if (!socket.isConnected()) {
                open.remove(socket);
            }
        }
    }

    private boolean drops(boolean forth) {
        Mode now = mode;
        return now == Mode.SILENT || now == (forth ? Mode.SILENT_FORTH : Mode.SILENT_BACK);
    }

    private void pump(Socket from, Socket to, boolean forth) {
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean silenced = false;
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                // A connection that lost bytes stays silent, as one behind a cut does.
                silenced |= drops(forth);
                if (mode == Mode.DELAYING) {
                    Thread.sleep(DELAY_MS);
                }
                if (!silenced) {
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
            open.remove(from);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetConnections();
        threads.shutdownNow();
    }
}
