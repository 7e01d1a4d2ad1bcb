package org.cranberrybend.entry.http;

import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;

/** Handles the requests of a server. All methods are called on the server's event loop. */
public interface RequestHandler {
    /** Handles a complete request. The response may be sent later, on the same event loop. */
    void handle(ReceivedRequest request, ServerExchange exchange);

    /**
     * Called when the server refuses a request by itself, because it is malformed or exceeds a limit.
     *
     * @param head request line and headers; empty if they could not be read
     */
    default void onRefused(Optional<HttpRequest> head, int status, String reason) {
        // Only the handler of callers' requests logs refusals.
    }
}
