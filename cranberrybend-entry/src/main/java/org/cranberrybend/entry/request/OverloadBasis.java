package org.cranberrybend.entry.request;

/**
 * What the refusal of a request under overload is based on.
 *
 * @param decision why it is refused
 * @param requestsPerSlot expected requests per slot of the upstreams that may receive it
 * @param reportAgeMs age of the oldest load report among them, in milliseconds
 * @param waiting waiting requests of the service
 * @param ahead those that are sent before it
 * @param waitMs expected wait, in milliseconds
 * @param responseMs expected time from sending to the response or the first event; 0 if unknown
 * @param leftMs time until the deadline, in milliseconds
 */
record OverloadBasis(
        String decision,
        double requestsPerSlot,
        long reportAgeMs,
        int waiting,
        int ahead,
        long waitMs,
        long responseMs,
        long leftMs) {}
