package org.cranberrybend.entry.upstream;

import java.util.Optional;

/** Decides which upstreams may receive a request at all; which of these is best is decided elsewhere. */
public final class UpstreamEligibility {
    /** Returns the reason why an upstream may not receive a request; empty if it may. */
    public Optional<Exclusion> exclusion(Upstream upstream, UpstreamQuery query) {
        if (!upstream.isListedReady()) {
            return Optional.of(Exclusion.LEAVING);
        }
        if (!upstream.admitsAfterPause(query.nowMs())) {
            return Optional.of(Exclusion.PAUSED);
        }
        return upstream.accepts(query.nowMs()) ? Optional.empty() : Optional.of(Exclusion.EJECTED);
    }
}
