package org.cranberrybend.entry.upstream;

import java.util.Locale;

/** Reason why an upstream may not receive a request. */
public enum Exclusion {
    /** The upstream is leaving, or no longer listed. */
    LEAVING,

    /** The upstream has asked for time, or is within the ramp after it. */
    PAUSED,

    /** The upstream has failed too often. */
    EJECTED {
        /** If all upstreams are ejected, the ejections are more likely wrong than all upstreams defective. */
        @Override
        boolean isIgnoredAsLastResort() {
            return true;
        }
    },

    /** The upstream is in a region that the request must not reach. */
    OTHER_REGION,

    /** The upstream is in an evacuated availability zone. */
    ZONE_EVACUATED,

    /** The upstream is warming up, and the rate that it bears is used up. */
    WARMING_UP,

    /** The upstream has stated a rate limit, and the share of this instance is used up. */
    RATE_LIMITED;

    /** Returns the reason as text for log lines. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Returns whether an upstream is used nevertheless if there is no other one. */
    boolean isIgnoredAsLastResort() {
        return false;
    }
}
