package org.cranberrybend.runtime.http;

import java.io.IOException;
import java.net.InetAddress;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;

/** HTTP/1.1 server that passes the requests of all paths to one handler. */
public final class HttpService implements Service {
    private static final int SOCKET_TIMEOUT_MS = 60_000;
    private static final int MAX_HEADER_COUNT = 100;
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int STOP_GRACE_MS = 500;

    private final String host;
    private final int requestedPort;
    private final HttpRequestHandler handler;
    private HttpServer server;

    /** Creates a server that listens on a local address; port 0 selects a free port. */
    public HttpService(String host, int requestedPort, HttpRequestHandler handler) {
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
                            .build())
                    .setHttp1Config(Http1Config.custom()
                            .setMaxHeaderCount(MAX_HEADER_COUNT)
                            .setMaxLineLength(MAX_LINE_BYTES)
                            .build())
                    .setExceptionListener(new IgnoringExceptionListener())
                    // The default request router responds with 421 to requests for any other host name.
                    .setRequestRouter((request, context) -> handler)
                    .create();
            server.start();
        } catch (IOException e) {
            throw new ServiceException("cannot listen on " + host + ":" + requestedPort + ": " + e.getMessage(), e);
        }
    }

    /** Returns the port in use after {@link #start()}. */
    public synchronized int port() {
        return server.getLocalPort();
    }

    @Override
    public synchronized void stop() {
        if (server == null) {
            return;
        }
        server.initiateShutdown();
        try {
            server.awaitTermination(TimeValue.ofMilliseconds(STOP_GRACE_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.close(CloseMode.IMMEDIATE);
    }

    /** Ignores connection errors, because clients that close their connections are expected and need no log line. */
    private static final class IgnoringExceptionListener implements ExceptionListener {
        @Override
        public void onError(Exception failure) {
            // Called if HttpCore cannot accept a connection.
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            // HttpCore closes the connection.
        }
    }
}
