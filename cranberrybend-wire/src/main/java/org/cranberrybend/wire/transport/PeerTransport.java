package org.cranberrybend.wire.transport;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Peer messages over TCP as length-delimited protobuf frames. Each peer address has one outbound connection for bulk
 * traffic and one for the rest; handlers run on worker threads with bounded queues.
 *
 * <p>A reply is sent on the connection of its request and accepted on no other. If a request times out and its
 * connection received no frame since the request was written, the next frame uses a new connection, because a device on
 * the network path may have lost the state of the old one.
 *
 * <p>Large frames to other regions wait for the byte budget of the inter-region link. They use the bulk connection, so
 * that control frames never queue behind them.
 */
public final class PeerTransport implements PeerMessenger, Service {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int IO_THREADS = 2;

    /** Maximum number of frames of one lane that wait for a worker thread. */
    private static final int WORKER_QUEUE_LENGTH = 2_048;

    /** Timeout for stopping the event loops and for stopping each lane's worker threads. */
    private static final long STOP_TIMEOUT_MS = 2_000;

    private final PeerTransportSettings settings;
    private final PeerContext context;
    private final TransportMetrics metrics;
    private final LinkPacer pacer;
    private final PendingRequests pendingRequests = new PendingRequests();
    private final Map<Envelope.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final ConcurrentMap<ConnectionKey, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Set<PeerChannel> acceptedChannels = ConcurrentHashMap.newKeySet();
    private final Map<FrameLane, ThreadPoolExecutor> workers = new EnumMap<>(FrameLane.class);
    private final EventLoopGroup ioGroup;
    private final ConnectionEvents connectionEvents = new ConnectionEvents();
    private volatile Channel server;
    private volatile boolean stopped;

    private record ConnectionKey(String address, boolean bulk) {}

    /** Creates a transport; it does not listen until it is started. */
    public PeerTransport(PeerTransportSettings settings, PeerContext context, MetricRegistry registry) {
        this.settings = settings;
        this.context = context;
        this.metrics = new TransportMetrics(registry);
        this.ioGroup = new MultiThreadIoEventLoopGroup(IO_THREADS, daemonThreads("peer-io"), NioIoHandler.newFactory());
        this.pacer = new LinkPacer(
                settings.linkBytesPerSecond(), settings.linkBurstBytes(), TimeSource.system(), this::scheduleWrite);
        for (FrameLane lane : FrameLane.values()) {
            int threads = lane.threadCount();
            ThreadPoolExecutor executor = new ThreadPoolExecutor(
                    threads,
                    threads,
                    10,
                    TimeUnit.SECONDS,
                    new ArrayBlockingQueue<>(WORKER_QUEUE_LENGTH),
                    daemonThreads("peer-" + lane.name().toLowerCase(Locale.ROOT)));
            executor.allowCoreThreadTimeOut(true);
            workers.put(lane, executor);
        }
    }

    private void scheduleWrite(Runnable task, long delayMs) {
        try {
            ioGroup.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException ignored) {
            // The transport is stopping; no more frames are sent.
        }
    }

    private static ThreadFactory daemonThreads(String prefix) {
        return new ThreadFactoryBuilder()
                .setNameFormat(prefix + "-%d")
                .setDaemon(true)
                .build();
    }

    @Override
    public void start() throws ServiceException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(ioGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel target) {
                        PeerChannel channel = new PeerChannel(settings, metrics, pacer, connectionEvents);
                        acceptedChannels.add(channel);
                        channel.install(target);
                    }
                });
        ChannelFuture bound = bootstrap.bind(settings.host(), settings.port()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new ServiceException(
                    "cannot listen for peers on " + settings.host() + ":" + settings.port(), bound.cause());
        }
        server = bound.channel();
    }

    /** Returns the port on which the started transport listens. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    @Override
    public void stop() {
        stopped = true;
        if (server != null) {
            server.close().awaitUninterruptibly(STOP_TIMEOUT_MS);
        }
        connections.values().forEach(PeerConnection::stop);
        acceptedChannels.forEach(PeerChannel::close);
        ioGroup.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(2 * STOP_TIMEOUT_MS);
        pendingRequests.failAll("peer transport is stopped");
        workers.values().forEach(ExecutorService::shutdownNow);
        try {
            for (ExecutorService executor : workers.values()) {
                executor.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void register(Envelope.BodyCase bodyCase, PeerHandler handler) {
        if (handlers.putIfAbsent(bodyCase, handler) != null) {
            throw new IllegalStateException("message type " + bodyCase + " already has a handler");
        }
    }

    @Override
    public void send(String peerAddress, Envelope.Builder message) {
        connection(peerAddress, message.getBodyCase()).ifPresent(connection -> connection.send(withHeader(message)));
    }

    @Override
    public CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs) {
        Optional<PeerConnection> connection = connection(peerAddress, message.getBodyCase());
        if (connection.isEmpty()) {
            return CompletableFuture.failedFuture(new IOException("peer transport is stopped"));
        }
        PendingRequests.Pending request = pendingRequests.create();
        try {
            ioGroup.schedule(
                    () -> timeOut(request.id(), connection.get(), peerAddress, timeoutMs),
                    timeoutMs,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            pendingRequests.fail(request.id(), "peer transport is stopped");
            return request.reply();
        }
        connection.get().send(withHeader(message.setCorrelationId(request.id())));
        return request.reply();
    }

    private Optional<PeerConnection> connection(String peerAddress, Envelope.BodyCase bodyCase) {
        if (stopped) {
            return Optional.empty();
        }
        boolean bulk = FrameLane.of(bodyCase).isBulk();
        return Optional.of(connections.computeIfAbsent(
                new ConnectionKey(peerAddress, bulk),
                key -> new PeerConnection(
                        key.address(), settings, metrics, pacer, pendingRequests, connectionEvents, ioGroup.next())));
    }

    private Envelope withHeader(Envelope.Builder message) {
        context.fillHeader(message);
        return message.build();
    }

    private void timeOut(long requestId, PeerConnection connection, String peerAddress, long timeoutMs) {
        pendingRequests.remove(requestId).ifPresent(request -> {
            request.unresponsiveChannel().ifPresent(connection::retire);
            TimeoutException failure =
                    new TimeoutException("peer " + peerAddress + " did not reply within " + timeoutMs + " ms");
            if (!execute(FrameLane.RESPONSE, () -> request.reply().completeExceptionally(failure))) {
                request.reply().completeExceptionally(failure);
            }
        });
    }

    private boolean execute(FrameLane lane, Runnable task) {
        try {
            workers.get(lane).execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            metrics.recordDropped(DropReason.WORKERS_BUSY);
            return false;
        }
    }

    private void handle(PeerChannel source, Envelope frame) {
        try {
            context.observe(frame);
            if (frame.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
                return;
            }
            PeerHandler handler = handlers.get(frame.getBodyCase());
            if (handler == null) {
                metrics.recordDropped(DropReason.NO_HANDLER);
                return;
            }
            Optional<Envelope.Builder> reply = handler.handle(frame);
            if (reply.isPresent() && frame.getCorrelationId() != 0) {
                source.write(withHeader(
                        reply.get().setCorrelationId(frame.getCorrelationId()).setResponse(true)));
            }
        } catch (RuntimeException e) {
            metrics.recordHandlerFailure(frame.getBodyCase());
            LOGGER.atWarning().withCause(e).log(
                    "handler for %s from %s failed", frame.getBodyCase(), frame.getSender());
        }
    }

    private void completeRequest(PeerChannel source, Envelope frame) {
        Optional<PendingRequests.Pending> request = pendingRequests.remove(frame.getCorrelationId(), source);
        if (request.isEmpty()) {
            metrics.recordDropped(DropReason.UNKNOWN_CORRELATION);
            return;
        }
        boolean accepted = execute(FrameLane.RESPONSE, () -> {
            try {
                context.observe(frame);
            } catch (RuntimeException e) {
                LOGGER.atWarning().withCause(e).log(
                        "processing the header of a reply from %s failed", frame.getSender());
            }
            request.get().reply().complete(frame);
        });
        if (!accepted) {
            request.get().reply().completeExceptionally(new IOException("reply dropped: all worker threads are busy"));
        }
    }

    private final class ConnectionEvents implements PeerConnection.Owner {
        @Override
        public void onFrame(PeerChannel source, Envelope frame) {
            if (frame.getResponse()) {
                completeRequest(source, frame);
            } else {
                execute(FrameLane.of(frame.getBodyCase()), () -> handle(source, frame));
            }
        }

        @Override
        public void onClosed(PeerChannel source) {
            acceptedChannels.remove(source);
            pendingRequests.failAll(source, "connection to the peer was closed");
        }

        @Override
        public Envelope keepAlive() {
            return withHeader(Envelope.newBuilder());
        }

        @Override
        public Envelope hello() {
            return withHeader(context.hello());
        }

        @Override
        public boolean usesInterRegionLink(PeerChannel source) {
            return context.isInOtherRegion(source.sender());
        }

        @Override
        public boolean usesInterRegionLinkTo(String address) {
            return context.isInOtherRegion(address);
        }
    }
}
