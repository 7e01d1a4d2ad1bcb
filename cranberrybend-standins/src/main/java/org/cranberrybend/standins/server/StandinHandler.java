package org.cranberrybend.standins.server;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/** Handles the requests of a {@link StandinServer}. */
@FunctionalInterface
public interface StandinHandler {
    /**
     * Handles a request and sets the response.
     *
     * @throws IOException to close the connection; no response is sent if {@link CallerConnection#abort()} was called
     */
    void handle(ClassicHttpRequest request, ClassicHttpResponse response, CallerConnection connection)
            throws IOException;
}
