package org.cranberrybend.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.entry.http.HeaderText;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.upstream.Upstream;

/** The headers that this program adds to requests to upstreams, and the statements in the headers of their responses. */
final class AttemptHeaders {
    /** Room in the list for the headers that are added to those of the caller. */
    private static final int ADDED_HEADERS = 5;
    /** Position in a load report of the time that work takes on the machine, in percent of normal. */
    private static final int SLOWDOWN_INDEX = 3;

    private static final double PERCENT = 100;

    private final HeaderNames names;

    AttemptHeaders(HeaderNames names) {
        this.names = names;
    }

    /**
     * Returns the headers of a request to an upstream.
     *
     * @param lastEventId event after which a stream is resumed; empty if it starts anew
     */
    List<Header> ofRequest(RoutedRequest request, String upstreamId, String lastEventId, long remainingMs) {
        List<Header> headers = new ArrayList<>(request.headers().size() + ADDED_HEADERS);
        for (Header header : request.headers()) {
            if (lastEventId.isEmpty() || !header.getName().equalsIgnoreCase(names.lastEventId())) {
                headers.add(header);
            }
        }
        if (!lastEventId.isEmpty()) {
            headers.add(new BasicHeader(names.lastEventId(), lastEventId));
        }
        headers.add(new BasicHeader(names.deadlineMs(), Math.max(1, remainingMs)));
        headers.add(new BasicHeader(names.upstreamId(), headerText(upstreamId)));
        request.account()
                .ifPresent(account -> headers.add(new BasicHeader(names.account(), headerText(account.name()))));
        if (!request.prompt().isEmpty()) {
            headers.add(new BasicHeader(names.enginePriority(), request.enginePriority()));
        }
        return headers;
    }

    /** A request with text that no head can hold is not written, see {@link HeaderText}. */
    private static String headerText(String text) {
        return HeaderText.encode(text).orElse(text);
    }

    /** Returns whether an upstream states in a response that it is leaving. */
    boolean statesLeaving(HttpResponse response) {
        for (Header header : response.getHeaders(names.leaving())) {
            if (header.getValue() != null && header.getValue().trim().equals(HeaderNames.LEAVING)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the rate limit that an upstream states in a response; empty if there is none that can be read. */
    OptionalDouble rateLimit(HttpResponse response) {
        return StatedRateLimit.requestsPerS(response, names.rateLimit());
    }

    /**
     * Returns whether a response shows that the upstream has no rate limit. A rejection does not: it may be made before
     * the upstream looks at its limit.
     */
    boolean statesNoRateLimit(HttpResponse response) {
        return response.containsHeader(names.signature()) && !response.containsHeader(names.rateLimit());
    }

    /** Records the load report of a response, if there is one that can be read. */
    void recordLoad(HttpResponse response, Upstream upstream, long nowMs) {
        Header load = response.getFirstHeader(names.load());
        if (load == null) {
            return;
        }
        String[] counts = load.getValue().split(",");
        try {
            upstream.reported(Integer.parseInt(counts[0].trim()), Integer.parseInt(counts[1].trim()), nowMs);
            if (counts.length > SLOWDOWN_INDEX) {
                double percent = Double.parseDouble(counts[SLOWDOWN_INDEX].trim());
                upstream.engine().estimator().recordSlowdown(percent / PERCENT, nowMs);
            }
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException ignored) {
            // An unreadable load report is ignored; the previous report and this process's own counts remain in use.
        }
    }
}
