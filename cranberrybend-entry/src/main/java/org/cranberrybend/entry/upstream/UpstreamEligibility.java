package org.cranberrybend.entry.upstream;

import java.util.Optional;

/** Decides which upstreams may receive a request at all; which of these is best is decided elsewhere. */
public final class UpstreamEligibility {
    private final WarmUpLimiter warmUp;

    /** Creates the decision for upstreams whose requests a limiter limits while they warm up. */
    public UpstreamEligibility(WarmUpLimiter warmUp) {
        this.warmUp = warmUp;
    }

    /** Returns the reason why an upstream may not receive a request; empty if it may. */
    public Optional<Exclusion> exclusion(Upstream upstream, UpstreamQuery query) {
        if (!upstream.isListedReady()) {
            return Optional.of(Exclusion.LEAVING);
        }
        if (!upstream.admitsAfterPause(query.nowMs())) {
            return Optional.of(Exclusion.PAUSED);
        }
        if (!warmUp.admits(upstream, query.nowMs())) {
            return Optional.of(Exclusion.WARMING_UP);
        }
        return upstream.accepts(query.nowMs()) ? Optional.empty() : Optional.of(Exclusion.EJECTED);
    }
}
