package org.cranberrybend.entry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpRequest;
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
    /** Share of the memory that bodies may use beyond their first segment; the rest is for small requests. */
    private static final double LARGE_BODY_SHARE = 0.75;
    /**
     * Time after which a connection with a body in transit or an unread response may be closed in favor of another body.
     * Younger ones stay, since uploads that displace each other would all fail.
     */
    private static final long SLOW_TRANSFER_MS = 1_500;

    private static final long OVERLOAD_LOG_INTERVAL_MS = 1_000;

    private final EventLoopGroup loop;
    private final TimeSource timeSource;
    private final RequestHandler handler;
    private final Supplier<ServerLimits> limits;
    private final MessageMemoryLimit memory;
    private final DecisionLog log;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private Channel channel;
    private boolean draining;
    private boolean closing;
    private int maxConnections = Integer.MAX_VALUE;
    private long refusals;
    private long memoryRefusals;
    private long reclaimedConnections;
    private long reportedOverloads;
    private long lastOverloadLogMs;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop group of exactly one event loop
     * @param memory limit on the memory that all connections of this server occupy together
     * @param limits supplies the limits in force; a connection keeps the limit on head lines from when it was opened
     */
    public HttpServer(
            EventLoopGroup loop,
            TimeSource timeSource,
            RequestHandler handler,
            Supplier<ServerLimits> limits,
            MessageMemoryLimit memory,
            DecisionLog log) {
        this.loop = loop;
        this.timeSource = timeSource;
        this.handler = handler;
        this.limits = limits;
        this.memory = memory;
        this.log = log;
    }

    /** Limits the number of open connections; called before {@link #listen}. */
    public void setMaxConnections(int count) {
        maxConnections = count;
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
        bound.addListener(done -> channel.pipeline().addLast(new AcceptFailureHandler()));
        loop.scheduleWithFixedDelay(
                new GuardedTask("connection timeouts", this::checkTimeouts, log),
                TIMEOUT_CHECK_PERIOD_MS,
                TIMEOUT_CHECK_PERIOD_MS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    /**
     * Ends the exceptions of failed accepts, after which Netty waits a second. Its own handler would log them, and
     * without a free descriptor the formatter of the log line cannot load its time zones and ends the event loop.
     */
    private static final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The connection stays in the backlog of the socket.
        }
    }

    private void checkTimeouts() {
        long nowMs = nowMs();
        new ArrayList<>(connections).forEach(each -> each.checkTimeouts(nowMs));
        long overloads = memoryRefusals + reclaimedConnections;
        if (overloads > reportedOverloads && nowMs - lastOverloadLogMs >= OVERLOAD_LOG_INTERVAL_MS) {
            lastOverloadLogMs = nowMs;
            reportedOverloads = overloads;
            log.record(
                    EventCode.CALLER_MEMORY_EXHAUSTED,
                    channel.localAddress().toString(),
                    "refused",
                    memoryRefusals,
                    "closed",
                    reclaimedConnections,
                    "memory_bytes",
                    memory.usedBytes(),
                    "connections",
                    connections.size());
        }
    }

    /**
     * Acquires memory for a connection, if necessary by closing other connections without a request in progress, first
     * those that have gone longest without a complete request.
     *
     * @param large whether the memory is for a body beyond its first segment; only slow transfers are closed for it
     */
    boolean acquireMemory(long bytes, boolean large, ServerConnection requester) {
        double share = large ? LARGE_BODY_SHARE : 1;
        long slowLimitMs = nowMs() - SLOW_TRANSFER_MS;
        while (!memory.tryAcquire(bytes, share)) {
            if (!reclaimOldest(each -> each != requester && (!large || each.isSlowSince(slowLimitMs)))) {
                return false;
            }
        }
        return true;
    }

    private boolean reclaimOldest(Predicate<ServerConnection> condition) {
        ServerConnection oldest = null;
        for (ServerConnection each : connections) {
            if (each.isReclaimable()
                    && (oldest == null || each.lastRequestMs() < oldest.lastRequestMs())
                    && condition.test(each)) {
                oldest = each;
            }
        }
        if (oldest == null) {
            return false;
        }
        reclaimedConnections++;
        oldest.reclaim();
        return true;
    }

    /** Records that the server refused a request by itself, for the handler and the metrics. */
    void recordRefusal(HttpRequest head, RequestRefusedException refusal) {
        refusals++;
        if (refusal.isMemoryExhausted()) {
            memoryRefusals++;
        }
        handler.onRefused(Optional.ofNullable(head), refusal.status(), refusal.getMessage());
    }

    /** Counts a connection that was closed because its caller does not read and memory is exhausted. */
    void countUnreadResponse() {
        reclaimedConnections++;
    }

    /** Returns the number of requests that the server refused by itself because they are malformed or over a limit. */
    public long refusals() {
        return refusals;
    }

    /** Returns the number of connections that were closed for lack of memory or descriptors. */
    public long reclaimedConnections() {
        return reclaimedConnections;
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

    /** Returns the limit on the memory of all connections of this server. */
    public MessageMemoryLimit memory() {
        return memory;
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

    /** Adds a connection, if necessary in place of another one; returns false if there is no room for it. */
    boolean addConnection(ServerConnection connection) {
        while (connections.size() >= maxConnections) {
            if (!reclaimOldest(each -> true)) {
                reclaimedConnections++;
                return false;
            }
        }
        return connections.add(connection);
    }

    void removeConnection(ServerConnection connection) {
        connections.remove(connection);
    }
}
