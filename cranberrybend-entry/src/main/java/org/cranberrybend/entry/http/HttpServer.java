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
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.log.GuardedTask;

/** An HTTP server on one address, with its connections. Confined to one event loop. */
public final class HttpServer {
    private static final int BACKLOG = 1024;
    /** Number of consecutive reads from one connection before the event loop serves others. */
    private static final int MAX_READS_PER_EVENT = 16;

    private static final long TIMEOUT_CHECK_PERIOD_MS = 500;

    private final EventLoopGroup loop;
    private final TimeSource timeSource;
    private final RequestHandler handler;
    private final Supplier<ServerLimits> limits;
    private final MessageMemoryLimit bodyMemory;
    private final DecisionLog log;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private Channel channel;
    private boolean draining;
    private boolean closing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop group of exactly one event loop
     * @param limits supplies the limits in force; a connection keeps the limit on head lines from when it was opened
     */
    public HttpServer(
            EventLoopGroup loop,
            TimeSource timeSource,
            RequestHandler handler,
            Supplier<ServerLimits> limits,
            MessageMemoryLimit bodyMemory,
            DecisionLog log) {
        this.loop = loop;
        this.timeSource = timeSource;
        this.handler = handler;
        this.limits = limits;
        this.bodyMemory = bodyMemory;
        this.log = log;
    }

    /** Starts to listen on an address; the bound address is the local address of the future's channel. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until no data is left, so that the end of the input is detected along with the last bytes.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_EVENT))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline().addLast(new ServerConnection(HttpServer.this));
                    }
                })
                .bind(address);
        channel = bound.channel();
        loop.scheduleWithFixedDelay(
                new GuardedTask("connection timeouts", this::checkTimeouts, log),
                TIMEOUT_CHECK_PERIOD_MS,
                TIMEOUT_CHECK_PERIOD_MS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    private void checkTimeouts() {
        long nowMs = nowMs();
        new ArrayList<>(connections).forEach(each -> each.checkTimeouts(nowMs));
    }

    /** Begins to drain: each response from now on closes its connection. */
    public void beginDrain() {
        draining = true;
    }

    /**
     * Closes each connection after its response from now on. New connections are accepted until {@link #stopListening}:
     * those that wait in the backlog of the socket would be reset along with it.
     */
    public void closeGracefully() {
        closing = true;
    }

    /** Closes the connections without a request in the given time; a request may be on its way on a younger one. */
    public void closeIdleConnections(long minIdleMs) {
        long idleLimitMs = nowMs() - minIdleMs;
        for (ServerConnection each : new ArrayList<>(connections)) {
            if (each.isIdleSince(idleLimitMs)) {
                each.closeIfIdle();
            }
        }
    }

    /** Closes the listening socket. */
    public void stopListening() {
        channel.close();
    }

    /** Returns whether a response is in progress, or a connection is idle for less than the given time. */
    public boolean isBusy(long minIdleMs) {
        long idleLimitMs = nowMs() - minIdleMs;
        return connections.stream().anyMatch(each -> !each.isIdleSince(idleLimitMs));
    }

    /** Returns the number of connections that are not idle: with a request in progress, or closing after a response. */
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

    MessageMemoryLimit bodyMemory() {
        return bodyMemory;
    }

    RequestHandler handler() {
        return handler;
    }

    long nowMs() {
        return timeSource.monotonicMs();
    }

    /** Records an unexpected exception that ended a request. */
    void recordFailure(String target, RuntimeException cause) {
        log.record(EventCode.INTERNAL_FAILURE, target, "cause", cause.toString());
    }

    void schedule(Runnable task, long delayMs) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void addConnection(ServerConnection connection) {
        connections.add(connection);
    }

    void removeConnection(ServerConnection connection) {
        connections.remove(connection);
    }
}
