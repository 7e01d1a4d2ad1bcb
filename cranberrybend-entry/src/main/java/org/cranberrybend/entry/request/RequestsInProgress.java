package org.cranberrybend.entry.request;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that this process handles, and whether it still takes new ones. Confined to the event loop.
 *
 * <p>A stopping process is killed at a limit. A request that it takes shortly before that would be cut off, perhaps after
 * an upstream has executed it, so the process first refuses requests, and then ends those that are left: each caller
 * receives a response that states whether its request may have been executed.
 */
public final class RequestsInProgress {
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private boolean refusing;

    /** Refuses requests from now on, and does not send those again that may be executed only once. */
    public void refuseNew() {
        refusing = true;
    }

    /** Ends all requests in progress. */
    public void endAll() {
        new ArrayList<>(exchanges).forEach(Exchange::endForShutdown);
    }

    boolean isRefusing() {
        return refusing;
    }

    void add(Exchange exchange) {
        exchanges.add(exchange);
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }
}
