package org.cranberrybend.standins.server;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;

/** The most recent requests received by a stand-in, in order of arrival, limited in number and in body bytes. */
public final class RequestLog {
    // The default heap of the launch scripts is 192 MB; this leaves most of it to in-flight requests.
    private static final long MAX_BODY_BYTES = 32L << 20;

    private final int maxCount;
    private final Deque<ReceivedRequest> requests = new ArrayDeque<>();
    private long bodyBytes;
    private long receivedCount;

    /** Creates a log that keeps at most the given number of requests. */
    public RequestLog(int maxCount) {
        this.maxCount = maxCount;
    }

    /**
     * Adds a request and evicts the oldest ones above the limits; the newest is kept even if it exceeds the byte limit.
     */
    public synchronized void add(ReceivedRequest request) {
        requests.addLast(request);
        receivedCount++;
        bodyBytes += request.body().length;
        while (requests.size() > maxCount || (bodyBytes > MAX_BODY_BYTES && requests.size() > 1)) {
            bodyBytes -= requests.removeFirst().body().length;
        }
    }

    /** Returns the number of requests received, including evicted ones. */
    public synchronized long receivedCount() {
        return receivedCount;
    }

    /** Returns the kept requests in order of arrival. */
    public synchronized List<ReceivedRequest> kept() {
        return List.copyOf(requests);
    }

    /** Returns the kept requests as a JSON array, with bodies decoded as UTF-8. */
    public synchronized JsonNode toJson() {
        ArrayNode list = CanonicalJson.mapper().createArrayNode();
        for (ReceivedRequest request : requests) {
            ObjectNode each = list.addObject();
            each.put("method", request.method());
            each.put("target", request.target());
            each.set("headers", CanonicalJson.mapper().valueToTree(request.headers()));
            each.set("trailers", CanonicalJson.mapper().valueToTree(request.trailers()));
            each.put("body", request.bodyText());
        }
        return list;
    }
}
