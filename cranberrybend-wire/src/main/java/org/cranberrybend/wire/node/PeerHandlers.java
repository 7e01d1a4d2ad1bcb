package org.cranberrybend.wire.node;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cranberrybend.wire.generated.Envelope;

/** Registers handlers of messages without a reply, and of requests that always have one. */
final class PeerHandlers {
    private PeerHandlers() {}

    static void onMessage(PeerGroup peers, Envelope.BodyCase bodyCase, Consumer<Envelope> handler) {
        peers.messenger().register(bodyCase, frame -> {
            handler.accept(frame);
            return Optional.empty();
        });
    }

    static void onRequest(PeerGroup peers, Envelope.BodyCase bodyCase, Function<Envelope, Envelope.Builder> handler) {
        peers.messenger().register(bodyCase, frame -> Optional.of(handler.apply(frame)));
    }
}
