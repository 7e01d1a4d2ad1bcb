package org.cranberrybend.entry.http;

/** Answers the requests of a server. All calls come on the server's event loop. */
public interface RequestHandler {
    /** Takes a request that was read whole. The answer may be given later, on the same event loop. */
    void handle(ReceivedRequest request, ServerExchange exchange);
}
