package org.cranberrybend.wire.transport;

import java.util.concurrent.CompletableFuture;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Sends messages to peers and dispatches received messages to handlers.
 *
 * <p>The messenger sets the header of each message, such as sender, clock and correlation identifier.
 */
public interface PeerMessenger {
    /** Sends a one-way message to {@code host:port}. It is dropped without notice if the peer cannot be reached. */
    void send(String peerAddress, Envelope.Builder message);

    /**
     * Sends a request and returns its reply. The future fails with {@link java.util.concurrent.TimeoutException} if no
     * reply arrives within the timeout, or with {@link java.io.IOException} if the connection fails.
     */
    CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs);

    /** Registers the handler of a message type. Must be called before the messenger is started. */
    void register(Envelope.BodyCase bodyCase, PeerHandler handler);
}
