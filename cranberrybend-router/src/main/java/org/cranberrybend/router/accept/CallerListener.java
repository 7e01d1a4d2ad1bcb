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
 * HTTP server on the caller port, with one thread per connection.
 *
 * <p>Uses HttpCore's server connection but not its server bootstrap, which limits neither the number of connections nor
 * the time to receive a request, and cannot close the idle connections of one API key.
 */
public final class CallerListener implements Service {
    private static final int BACKLOG = 512;
    private static final long SCAN_INTERVAL_MS = 1_000;
    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    private final String host;
    private final int requestedPort;
    private final AcceptLimits limits;
    private final TimeSource timeSource;
    private final Supplier<String> requestIds;
    private final RequestHandler handler;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger threadNumbers = new AtomicInteger();
    private ExecutorService workers;
    private ScheduledExecutorService blockedWriteScanner;
    private ServerSocket serverSocket;
    private Thread acceptor;
    private volatile boolean draining;
    private volatile boolean stopped;

    /** Creates a listener; port 0 selects a free port. */
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
        blockedWriteScanner = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "caller-scan"));
        blockedWriteScanner.scheduleWithFixedDelay(
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
                    refuseConnection(socket);
                } else {
                    startConnection(socket);
                }
            } catch (IOException e) {
                if (serverSocket.isClosed()) {
                    return;
                }
            }
        }
    }

    private void startConnection(DeadlineSocket socket) throws IOException {
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

    /** Responds without reading the request, so that a connection above the limit occupies no thread. */
    private void refuseConnection(Socket socket) {
        RequestFailedException failure = RequestFailedException.notRunRetryAfter(
                1_000, ErrorCode.RATE_LIMITED, limits.maxConnections() + " connections of this instance");
        String requestId = requestIds.get();
        String body = new String(ErrorBody.toJson(failure, requestId), StandardCharsets.UTF_8);
        String response = "HTTP/1.1 429 Too Many Requests\r\nConnection: close\r\nRetry-After: 1\r\n"
                + "Content-Type: application/json\r\nX-Request-Id: " + requestId + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        try (socket) {
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        } catch (IOException ignored) {
            // The caller has already disconnected.
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

    /** Returns the bound port; valid after {@link #start()}. */
    public synchronized int port() {
        return serverSocket.getLocalPort();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of in-flight requests, including those being received. */
    public int inFlightRequestCount() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Closes the idle connections whose last request carried an API key that has since been revoked. */
    public void closeConnectionsOfRevokedKeys() {
        closeIdleConnections(handler::isRevoked);
    }

    private void closeIdleConnections(Predicate<String> keyIds) {
        connections.forEach(connection -> connection.closeIfIdle(keyIds));
    }

    /**
     * Stops accepting connections, closes idle ones, and waits until all in-flight requests have ended.
     *
     * @return the number of requests still in flight after {@code limitMs}
     */
    public int drain(long limitMs) throws InterruptedException {
        long endMs = timeSource.monotonicMs() + limitMs;
        draining = true;
        closeServerSocket();
        while (true) {
            closeIdleConnections(keyId -> true);
            int busy = inFlightRequestCount();
            if (busy == 0 || timeSource.monotonicMs() >= endMs) {
                return busy;
            }
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MS);
        }
    }

    private synchronized void closeServerSocket() {
        try {
            if (serverSocket != null) {
                serverSocket.close();
            }
        } catch (IOException ignored) {
            // The socket is closed regardless.
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
        blockedWriteScanner.shutdownNow();
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
