import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback HTTP server with a thread for each connection. */
class Listener {
    /** Answers the requests of a connection; returns false if the connection is to be closed. */
    interface Handler {
        boolean handle(Message request, Socket socket, BufferedInputStream in) throws IOException;
    }

    final ServerSocket server;
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Listener(String ip, int port, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName(ip), port), 1024);
        Thread accepting = new Thread(this::accept, "accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + port();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(null, () -> serve(socket), "connection", 256 * 1024);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            Message request = Message.request(in);
            while (request != null && handler.handle(request, socket, in)) {
                request = Message.request(in);
            }
        } catch (IOException | RuntimeException e) {
            // The connection ends.
        } finally {
            open.remove(socket);
        }
    }

    void close() throws IOException {
        server.close();
        for (Socket each : open) {
            each.close();
        }
    }
}
