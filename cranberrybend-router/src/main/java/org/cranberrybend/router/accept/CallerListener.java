package org.cranberrybend.router.accept;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.io.DeadlineSocket;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;

/**
 * The caller port.
 *
 * <p>HttpCore's server bootstrap is not used, only its server connection: the bootstrap neither bounds connections nor
 * the time to receive a request, and gives no way to close the idle connections of one key.
 */
public final class CallerListener implements Service {
    private static final int BACKLOG = 512;
    private static final long SCAN_INTERVAL_MS = 1_000;
    private static final long DRAIN_POLL_MS = 20;

    private final String host;
    private final int requestedPort;
    private final AcceptLimits limits;
    private final TimeSource timeSource;
    private final Supplier<String> requestIds;
    private final RequestHandler handler;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger threadNumbers = new AtomicInteger();
    private ExecutorService workers;
    private ScheduledExecutorService scanner;
    private ServerSocket serverSocket;
    private Thread acceptor;
    private volatile boolean draining;
    private volatile boolean stopped;

    /** Creates a listener; port 0 takes a free port. */
    public CallerListener(
            String host,
            int requestedPort,
            AcceptLimits limits,
            TimeSource timeSource,
            Supplier<String> requestIds,
            RequestHandler handler) {
        this.host = host;
        this.requestedPort = requestedPort;
        this.limits = limits;
        this.timeSource = timeSource;
        this.requestIds = requestIds;
        this.handler = handler;
    }

    AcceptLimits limits() {
        return limits;
    }

    TimeSource timeSource() {
        return timeSource;
    }

    Supplier<String> requestIds() {
        return requestIds;
    }

    RequestHandler handler() {
        return handler;
    }

    boolean isDraining() {
        return draining;
    }

    @Override
    public synchronized void start() throws ServiceException {
        try {
            serverSocket = new DeadlineServerSocket();
            serverSocket.setReuseAddress(true);
            serverSocket.bind(new InetSocketAddress(InetAddress.getByName(host), requestedPort), BACKLOG);
        } catch (IOException e) {
            throw new ServiceException("cannot listen on " + host + ":" + requestedPort + ": " + e.getMessage(), e);
        }
        workers = Executors.newCachedThreadPool(task -> new Thread(task, "caller-" + threadNumbers.incrementAndGet()));
        scanner = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "caller-scan"));
        scanner.scheduleWithFixedDelay(
                this::closeBlockedWriters, SCAN_INTERVAL_MS, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
        acceptor = new Thread(this::acceptLoop, "caller-accept");
        acceptor.start();
    }

    private final class DeadlineServerSocket extends ServerSocket {
        DeadlineServerSocket() throws IOException {
            super();
        }

        @Override
        public Socket accept() throws IOException {
            DeadlineSocket socket = new DeadlineSocket(timeSource);
            implAccept(socket);
            return socket;
        }
    }

    private void acceptLoop() {
        while (!stopped) {
            try {
                DeadlineSocket socket = (DeadlineSocket) serverSocket.accept();
                if (connections.size() >= limits.maxConnections()) {
                    refuse(socket);
                } else {
                    serve(socket);
                }
            } catch (IOException e) {
                if (serverSocket.isClosed()) {
                    return;
                }
            }
        }
    }

    private void serve(DeadlineSocket socket) throws IOException {
        socket.setTcpNoDelay(true);
        CallerConnection connection = new CallerConnection(socket, this);
        connections.add(connection);
        workers.execute(() -> {
            try {
                connection.run();
            } finally {
                connections.remove(connection);
            }
        });
    }

    /** Answers without reading, so that a connection above the bound costs no thread. */
    private void refuse(Socket socket) {
        RequestFailedException failure = RequestFailedException.notRunRetryAfter(
                1_000, ErrorCode.RATE_LIMITED, limits.maxConnections() + " connections of this instance");
        String requestId = requestIds.get();
        String body = new String(ErrorBody.json(failure, requestId), StandardCharsets.UTF_8);
        String response = "HTTP/1.1 429 Too Many Requests\r\nConnection: close\r\nRetry-After: 1\r\n"
                + "Content-Type: application/json\r\nX-Request-Id: " + requestId + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        try (socket) {
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        } catch (IOException ignored) {
            // The caller is gone already.
        }
    }

    private void closeBlockedWriters() {
        long since = timeSource.monotonicMs() - limits.writeTimeoutMs();
        for (CallerConnection connection : connections) {
            if (connection.isWriteBlockedSince(since)) {
                connection.closeNow();
            }
        }
    }

    /** Returns the port in use after {@link #start()}. */
    public synchronized int port() {
        return serverSocket.getLocalPort();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of requests that are being received or answered. */
    public int busyCount() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Closes the idle connections whose last request carried a key that was revoked since. */
    public void closeRevoked() {
        closeIdle(handler::isRevoked);
    }

    private void closeIdle(Predicate<String> keyIds) {
        connections.forEach(connection -> connection.closeIfIdle(keyIds));
    }

    /**
     * Accepts no new connections, closes idle ones, and waits until all running requests are answered.
     *
     * @return the number of requests still running after {@code limitMs}
     */
    public int drain(long limitMs) throws InterruptedException {
        long endMs = timeSource.monotonicMs() + limitMs;
        draining = true;
        closeServerSocket();
        while (true) {
            closeIdle(keyId -> true);
            int busy = busyCount();
            if (busy == 0 || timeSource.monotonicMs() >= endMs) {
                return busy;
            }
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
    }

    private synchronized void closeServerSocket() {
        try {
            if (serverSocket != null) {
                serverSocket.close();
            }
        } catch (IOException ignored) {
            // The socket is closed in any case.
        }
    }

    @Override
    public void stop() {
        stopped = true;
        draining = true;
        closeServerSocket();
        if (workers == null) {
            return;
        }
        scanner.shutdownNow();
        workers.shutdownNow();
        connections.forEach(CallerConnection::closeNow);
        try {
            acceptor.join();
            workers.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
