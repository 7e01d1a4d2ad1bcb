import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy on loopback whose open connections can go silent for good, while new ones work. */
final class SilencingProxy implements AutoCloseable {
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    private static final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    SilencingProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.daemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Forwards nothing more on the connections that are open now, and keeps them open. Returns their number. */
    int silenceOpenConnections() {
        int count = 0;
        for (Link link : links) {
            if (!link.near.isClosed() && !link.silent) {
                link.silent = true;
                count++;
            }
        }
        return count;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target, 1_000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                links.add(link);
                Threads.daemon(() -> copy(link, near, far));
                Threads.daemon(() -> copy(link, far, near));
            } catch (IOException e) {
                // The listener was closed, or the connection ended before it was forwarded.
            }
        }
    }

    private void copy(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!link.silent) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // The end of the connection is passed on below.
        }
        if (!link.silent) {
            closeQuietly(from);
            closeQuietly(to);
            links.remove(link);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing more can be done.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Link link : links) {
            closeQuietly(link.near);
            closeQuietly(link.far);
        }
    }
}
