package org.cranberrybend.entry.testing;

import io.netty.channel.EventLoopGroup;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.MessageMemoryLimit;

/** Creates connectors for tests in which the memory for responses does not matter. */
public final class Connectors {
    private static final long RESPONSE_MEMORY_BYTES = 64 * 1024 * 1024;

    private Connectors() {}

    /** Returns a connector on a loop; null if the test opens no connection. */
    public static HttpConnector on(EventLoopGroup loop) {
        return new HttpConnector(loop, new MessageMemoryLimit(RESPONSE_MEMORY_BYTES));
    }
}
