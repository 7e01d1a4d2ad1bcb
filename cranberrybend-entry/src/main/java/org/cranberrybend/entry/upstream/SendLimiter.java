package org.cranberrybend.entry.upstream;

/**
 * Limits how often this instance sends requests to some upstreams. A slot is reserved when a connection is requested and
 * taken when the request is sent, so that requests which wait for their connections do not exceed the limit.
 */
public interface SendLimiter {
    /** Returns the reason that this limiter has for excluding an upstream. */
    Exclusion reason();

    /** Returns whether the requests to an upstream are limited now. */
    boolean isLimiting(Upstream upstream, long nowMs);

    /** Returns whether an upstream may receive a request from this instance now. */
    boolean admits(Upstream upstream, long nowMs);

    /**
     * Returns the monotonic time from which an upstream may receive a request that is not admitted now, as far as known;
     * {@link Long#MAX_VALUE} if this instance has no share of its rate.
     */
    long admissionMs(Upstream upstream, long nowMs);

    /** Reserves the slot for a request that is about to be sent; returns false if it needs none, or none is free. */
    boolean tryReserve(Upstream upstream, long nowMs);

    /**
     * Takes the slot for a request that is sent now if it needs one; returns false if it must not be sent.
     *
     * @param reserved whether the request has reserved the slot; the reservation ends in any case
     */
    boolean trySend(Upstream upstream, boolean reserved, long nowMs);

    /** Gives the slot back that a request has reserved, because nothing was sent. */
    void release(Upstream upstream);
}
