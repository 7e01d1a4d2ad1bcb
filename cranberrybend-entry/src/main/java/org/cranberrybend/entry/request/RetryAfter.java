package org.cranberrybend.entry.request;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;

/**
 * The time for which an upstream asks not to receive requests: a 503 with {@code Retry-After} in seconds, with or without
 * a fraction.
 *
 * <p>Zero asks for nothing. A negative number, a date or other text makes no statement, since a time that the upstream
 * did not state must not keep requests from it. A longer time than {@link #MAX_PAUSE_MS} counts as that, so that one
 * wrong digit does not cost an upstream for days. If there are several headers, the longest time counts.
 */
final class RetryAfter {
    static final long MAX_PAUSE_MS = 3_600_000;

    private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d+)?");

    private RetryAfter() {}

    /** Returns the time in milliseconds that a response asks for; empty if it asks for none. */
    static OptionalLong pauseMs(HttpResponse response) {
        if (!RefusalStatus.SERVICE_UNAVAILABLE.is(response.getCode())) {
            return OptionalLong.empty();
        }
        long pauseMs = 0;
        for (Header header : response.getHeaders(HttpHeaders.RETRY_AFTER)) {
            pauseMs = Math.max(pauseMs, parseMs(header.getValue()));
        }
        return pauseMs == 0 ? OptionalLong.empty() : OptionalLong.of(pauseMs);
    }

    private static long parseMs(String value) {
        String text = Optional.ofNullable(value).orElse("").trim();
        if (!SECONDS.matcher(text).matches()) {
            return 0;
        }
        // A double holds any number of digits; it is infinite where they are too many.
        return (long) Math.min(MAX_PAUSE_MS, Math.ceil(Double.parseDouble(text) * 1_000));
    }
}
