package org.cranberrybend.entry.http;

import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;

/** Answers the requests of a server. All calls come on the server's event loop. */
public interface RequestHandler {
    /** Takes a request that was read whole. The answer may be given later, on the same event loop. */
    void handle(ReceivedRequest request, ServerExchange exchange);

    /**
     * Takes note of a request that the server has answered by itself, because it could not be read to its end.
     *
     * @param head request line and headers; empty if these could not be read
     */
    default void refused(Optional<HttpRequest> head, int status, String reason) {
        // Only callers' requests are of interest.
    }
}
