package org.cranberrybend.wire.transport;

import java.util.concurrent.CompletableFuture;
import org.cranberrybend.wire.generated.Envelope;

/**
 * Sends messages to peers and passes received ones to handlers.
 *
 * <p>Sender, incarnation, clock, correlation identifier and configuration revision are filled in by the messenger.
 */
public interface PeerMessenger {
    /** Sends a one-way message to {@code host:port}. It is lost without notice if the peer cannot be reached. */
    void send(String peerAddress, Envelope.Builder message);

    /**
     * Sends a request and returns its response. The future fails with {@link java.util.concurrent.TimeoutException}
     * after the given time, or with {@link java.io.IOException} if the connection fails.
     */
    CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs);

    /** Registers the handler of a message type. Called before the messenger starts. */
    void register(Envelope.BodyCase bodyCase, PeerHandler handler);
}
