package org.cranberrybend.runtime.http;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;

/**
 * Creates blocking client connections that refuse responses whose head HTTP does not have, or that state their length in
 * more than one way. The library's own parser and strategy accept several of them.
 */
public final class CheckedConnections {
    private CheckedConnections() {}

    /** Returns a connection that is not bound to a socket. */
    public static DefaultBHttpClientConnection connection(Http1Config config) {
        return new DefaultBHttpClientConnection(
                config, null, null, CheckedConnections::bodyLength, null, null, CheckedResponseParser::new);
    }

    /** Returns a factory of such connections with the default configuration. */
    static DefaultBHttpClientConnectionFactory factory() {
        return DefaultBHttpClientConnectionFactory.builder()
                .incomingContentLengthStrategy(CheckedConnections::bodyLength)
                .responseParserFactory(CheckedResponseParser::new)
                .build();
    }

    private static long bodyLength(HttpMessage response) throws HttpException {
        return ResponseFraming.bodyLength((HttpResponse) response, false);
    }
}
