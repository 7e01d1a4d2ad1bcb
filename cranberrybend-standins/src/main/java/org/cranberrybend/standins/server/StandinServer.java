package org.cranberrybend.standins.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;

/**
 * HTTP/1.1 server of the stand-ins. Handlers get access to the connection, which the HTTP server of the runtime module
 * does not offer, so that they can close it without a response, stall it, and detect that the caller has disconnected.
 */
public final class StandinServer implements Service {
    private static final int SOCKET_TIMEOUT_MS = 120_000;
    private static final int MAX_HEADER_COUNT = 200;
    private static final int MAX_LINE_BYTES = 32_768;
    private static final int BACKLOG = 1_024;
    private static final Http1Config HTTP1 = Http1Config.custom()
            .setMaxHeaderCount(MAX_HEADER_COUNT)
            .setMaxLineLength(MAX_LINE_BYTES)
            .build();

    private final String host;
    private final int requestedPort;
    private final StandinHandler handler;
    private final Map<SocketAddress, CallerConnection> connections = new ConcurrentHashMap<>();
    private HttpServer server;

    /** Creates a server for a local address; port 0 selects a free port. */
    public StandinServer(String host, int requestedPort, StandinHandler handler) {
        this.host = host;
        this.requestedPort = requestedPort;
        this.handler = handler;
    }

    @Override
    public synchronized void start() throws ServiceException {
        try {
            server = ServerBootstrap.bootstrap()
                    .setLocalAddress(InetAddress.getByName(host))
                    .setListenerPort(requestedPort)
                    .setSocketConfig(SocketConfig.custom()
                            .setSoTimeout(Timeout.ofMilliseconds(SOCKET_TIMEOUT_MS))
                            .setSoReuseAddress(true)
                            .setTcpNoDelay(true)
                            .setBacklogSize(BACKLOG)
                            .build())
                    .setHttp1Config(HTTP1)
                    .setConnectionFactory(new ConnectionFactory())
                    .setExceptionListener(new NoOpExceptionListener())
                    // The default request router responds with 421 to Host names other than its own.
                    .setRequestRouter((request, context) -> this::handle)
                    .create();
            server.start();
        } catch (IOException e) {
            throw new ServiceException("cannot listen on " + host + ":" + requestedPort + ": " + e.getMessage(), e);
        }
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        SocketAddress caller =
                HttpCoreContext.cast(context).getEndpointDetails().getRemoteAddress();
        CallerConnection connection = connections.get(caller);
        if (connection == null) {
            throw new IOException("connection is closed: " + caller);
        }
        handler.handle(request, response, connection);
    }

    /** Stalls the connections that are open now; connections opened later are not affected. */
    public void stallOpenConnections() {
        connections.values().forEach(CallerConnection::stall);
    }

    /** Returns the port in use after {@link #start()}. */
    public synchronized int port() {
        return server.getLocalPort();
    }

    @Override
    public synchronized void stop() {
        if (server != null) {
            server.close(CloseMode.IMMEDIATE);
            connections.values().forEach(CallerConnection::abort);
        }
    }

    private final class ConnectionFactory implements HttpConnectionFactory<CallerConnection> {
        @Override
        public CallerConnection createConnection(Socket socket) throws IOException {
            CallerConnection connection = new CallerConnection(HTTP1);
            connection.bind(socket);
            SocketAddress caller = connection.getRemoteAddress();
            // Closed connections are removed only here, when the next one is opened.
            connections.values().removeIf(each -> !each.isOpen());
            connections.put(caller, connection);
            return connection;
        }
    }

    /** Ignores failures of connections: in fault tests, callers are expected to close connections. */
    private static final class NoOpExceptionListener implements ExceptionListener {
        @Override
        public void onError(Exception failure) {
            // The server closes the connection.
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            // The server closes the connection.
        }
    }
}
