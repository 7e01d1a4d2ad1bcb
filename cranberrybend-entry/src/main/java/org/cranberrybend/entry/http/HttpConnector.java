package org.cranberrybend.entry.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Opens connections to servers. Listeners are called on the event loop. */
public final class HttpConnector {
    private final EventLoopGroup loop;
    private final MessageMemoryLimit responseMemory;
    /** Actions that close the idle connections to an address, one of each client that was created for it. */
    private final Map<InetSocketAddress, List<Runnable>> idleClosers = new ConcurrentHashMap<>();

    /**
     * Creates a connector whose connections run on the given loop.
     *
     * @param responseMemory memory for the responses that all connections receive
     */
    public HttpConnector(EventLoopGroup loop, MessageMemoryLimit responseMemory) {
        this.loop = loop;
        this.responseMemory = responseMemory;
    }

    /** Receives the outcome of a connection attempt. */
    public interface Listener {
        /** The connection is established. */
        void onConnected(ClientConnection connection);

        /** No connection was established. */
        void onFailure(String cause);

        /** No connection was established, because no process listens at the address. */
        default void onRefused(String cause) {
            onFailure(cause);
        }
    }

    /**
     * Opens a connection.
     *
     * @param onClosed called once after an established connection was closed
     * @return a handle that cancels the connection attempt
     */
    public Runnable connect(
            InetSocketAddress address, int timeoutMs, Consumer<ClientConnection> onClosed, Listener listener) {
        ClientConnection[] created = new ClientConnection[1];
        ClientConnection connection = new ClientConnection(responseMemory, () -> onClosed.accept(created[0]));
        created[0] = connection;
        ChannelFuture attempt = open(address, timeoutMs, connection);
        attempt.addListener(done -> {
            if (done.isSuccess()) {
                listener.onConnected(connection);
            } else if (isRefusal(done.cause())) {
                listener.onRefused(String.valueOf(done.cause().getMessage()));
            } else if (!done.isCancelled()) {
                listener.onFailure(String.valueOf(done.cause().getMessage()));
            }
        });
        return () -> attempt.cancel(false);
    }

    /** Adds an action that closes the idle connections which a client keeps to an address. */
    void onDiscardIdle(InetSocketAddress address, Runnable closeIdle) {
        idleClosers
                .computeIfAbsent(address, each -> new CopyOnWriteArrayList<>())
                .add(closeIdle);
    }

    /** Closes the idle connections of all clients to an address, because a call there had no response in time. */
    void discardIdle(InetSocketAddress address) {
        idleClosers.getOrDefault(address, List.of()).forEach(Runnable::run);
    }

    /** Finds out whether a process listens at an address; the future completes on the event loop. */
    public CompletableFuture<ListenState> probe(InetSocketAddress address, int timeoutMs) {
        CompletableFuture<ListenState> result = new CompletableFuture<>();
        open(address, timeoutMs, new ChannelInboundHandlerAdapter()).addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                done.channel().close();
                result.complete(ListenState.LISTENING);
            } else {
                result.complete(isRefusal(done.cause()) ? ListenState.REFUSED : ListenState.UNKNOWN);
            }
        });
        return result;
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private ChannelFuture open(InetSocketAddress address, int timeoutMs, ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(handler)
                .connect(address);
    }
}
