package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * The rate limit in a response of an upstream: requests per second, with or without a fraction.
 *
 * <p>A value that is no such number, or a rate beyond what any upstream receives, makes no statement: neither that there
 * is a limit, nor that there is none. If there are several headers, the lowest rate counts.
 */
final class StatedRateLimit {
    /** Rates from this one on are beyond what any upstream receives. */
    private static final double MAX_REQUESTS_PER_S = 1e9;

    private static final Pattern NUMBER = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

    private StatedRateLimit() {}

    /** Returns the requests per second; empty if the response states no rate that can be read. */
    static OptionalDouble requestsPerS(HttpResponse response, String headerName) {
        double lowest = MAX_REQUESTS_PER_S;
        for (Header header : response.getHeaders(headerName)) {
            lowest = Math.min(lowest, parse(header.getValue()));
        }
        return lowest == MAX_REQUESTS_PER_S ? OptionalDouble.empty() : OptionalDouble.of(lowest);
    }

    private static double parse(String value) {
        String text = Optional.ofNullable(value).orElse("").trim();
        return NUMBER.matcher(text).matches() ? Double.parseDouble(text) : MAX_REQUESTS_PER_S;
    }
}
