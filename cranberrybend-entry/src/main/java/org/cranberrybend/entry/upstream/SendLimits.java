package org.cranberrybend.entry.upstream;

import java.util.List;
import java.util.Optional;

/** All limits on the requests of this instance to upstreams. Confined to the event loop. */
public final class SendLimits {
    private final List<SendLimiter> limiters;

    /** Combines limiters; a request needs a slot of each that limits its upstream. */
    public SendLimits(SendLimiter... limiters) {
        this.limiters = List.of(limiters);
    }

    /** Returns the reason why an upstream may not receive a request from this instance now; empty if it may. */
    Optional<Exclusion> exclusion(Upstream upstream, long nowMs) {
        for (int i = 0; i < limiters.size(); i++) {
            if (!limiters.get(i).admits(upstream, nowMs)) {
                return Optional.of(limiters.get(i).reason());
            }
        }
        return Optional.empty();
    }

    /** Returns the monotonic time from which all limiters admit a request to an upstream, as far as known. */
    long admissionMs(Upstream upstream, long nowMs) {
        long latestMs = nowMs;
        for (SendLimiter each : limiters) {
            if (!each.admits(upstream, nowMs)) {
                latestMs = Math.max(latestMs, each.admissionMs(upstream, nowMs));
            }
        }
        return latestMs;
    }

    /** Returns the reason why requests to an upstream are limited, whether or not one is admitted now. */
    Optional<Exclusion> limiting(Upstream upstream, long nowMs) {
        return limiters.stream()
                .filter(each -> each.isLimiting(upstream, nowMs))
                .map(SendLimiter::reason)
                .findFirst();
    }

    /** Returns the slots that one request to an upstream needs. */
    public SendSlots slots(Upstream upstream) {
        return new SendSlots(upstream, limiters);
    }
}
