package org.cranberrybend.entry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cranberrybend.core.time.TimeSource;

/** A listening address and its connections, confined to one event loop. */
public final class HttpServer {
    private static final int BACKLOG = 1024;
    /** Reads of one connection before the others have their turn. */
    private static final int MAX_READS_IN_A_ROW = 16;

    private static final long TIMEOUT_SCAN_MS = 500;

    private final EventLoopGroup loop;
    private final TimeSource timeSource;
    private final RequestHandler handler;
    private final Supplier<ServerLimits> limits;
    private final BodyMemoryLimit bodyMemory;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private Channel channel;
    private boolean draining;
    private boolean closing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop group of exactly one event loop
     * @param limits limits in force when a connection is opened
     */
    public HttpServer(
            EventLoopGroup loop,
            TimeSource timeSource,
            RequestHandler handler,
            Supplier<ServerLimits> limits,
            BodyMemoryLimit bodyMemory) {
        this.loop = loop;
        this.timeSource = timeSource;
        this.handler = handler;
        this.limits = limits;
        this.bodyMemory = bodyMemory;
    }

    /** Begins to listen on an address; the future's channel has the address in use. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until nothing is left, so that the end of a connection is seen along with its last bytes.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_IN_A_ROW))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline().addLast(new ServerConnection(HttpServer.this));
                    }
                })
                .bind(address);
        channel = bound.channel();
        loop.scheduleWithFixedDelay(this::checkTimeouts, TIMEOUT_SCAN_MS, TIMEOUT_SCAN_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    private void checkTimeouts() {
        long nowMs = nowMs();
        new ArrayList<>(connections).forEach(each -> each.checkTimeouts(nowMs));
    }

    /** Makes each further answer the last of its connection. */
    public void beginDrain() {
        draining = true;
    }

    /** Closes the listening socket, the connections without a request, and each other one after its answer. */
    public void closeGracefully() {
        closing = true;
        channel.close();
        new ArrayList<>(connections).forEach(ServerConnection::closeIfIdle);
    }

    /** Returns the number of connections that have a request in progress. */
    public int activeConnectionCount() {
        return (int) connections.stream().filter(each -> !each.isIdle()).count();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    boolean isDraining() {
        return draining;
    }

    boolean isClosing() {
        return closing;
    }

    ServerLimits limits() {
        return limits.get();
    }

    BodyMemoryLimit bodyMemory() {
        return bodyMemory;
    }

    RequestHandler handler() {
        return handler;
    }

    long nowMs() {
        return timeSource.monotonicMs();
    }

    void later(Runnable task, long delayMs) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
    }
}
