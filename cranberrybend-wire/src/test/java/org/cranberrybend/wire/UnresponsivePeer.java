package org.cranberrybend.wire;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Accepts connections, but neither reads from them nor writes to them. */
public final class UnresponsivePeer implements Closeable {
    private final ServerSocket server;
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();

    /** Listens on a free port of the loopback interface. */
    public UnresponsivePeer() throws IOException {
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::acceptAll, "unresponsive-peer");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                accepted.add(server.accept());
            }
        } catch (IOException ignored) {
            // The test has closed the server socket.
        }
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the number of connections accepted so far. */
    public int acceptedCount() {
        return accepted.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
