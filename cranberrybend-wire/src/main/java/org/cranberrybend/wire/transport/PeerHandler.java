package org.cranberrybend.wire.transport;

import java.util.Optional;
import org.cranberrybend.wire.generated.Envelope;

/** Handles one type of peer message, on a worker thread that it may block for a short time. */
@FunctionalInterface
public interface PeerHandler {
    /** Handles a message and returns the reply if the message is a request that has one. */
    Optional<Envelope.Builder> handle(Envelope message);
}
