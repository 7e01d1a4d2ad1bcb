package org.cranberrybend.standins.server;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/** Answers the requests that reach a {@link StandinServer}. */
@FunctionalInterface
public interface StandinHandler {
    /**
     * Answers a request by filling the response.
     *
     * @throws IOException to close the connection; without a response if {@link CallerConnection#abort()} was called
     */
    void handle(ClassicHttpRequest request, ClassicHttpResponse response, CallerConnection connection)
            throws IOException;
}
