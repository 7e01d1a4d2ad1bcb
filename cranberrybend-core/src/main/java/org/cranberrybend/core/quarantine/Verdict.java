package org.cranberrybend.core.quarantine;

import java.util.Optional;

/**
 * Decision about a request by the parts of its prompt.
 *
 * @param kind decision
 * @param quarantine quarantine that covers the prompt; empty if the request is admitted
 * @param retryAfterMs time after which a refused request may be sent again, in milliseconds
 */
public record Verdict(Kind kind, Optional<Quarantine> quarantine, long retryAfterMs) {
    /** Decision for a request that no quarantine covers. */
    static final Verdict ADMITTED = new Verdict(Kind.ADMIT, Optional.empty(), 0);

    /** Kinds of decisions. */
    public enum Kind {
        /** The request may be sent. */
        ADMIT,
        /** The request may be sent if it is the only probe of the fleet. */
        PROBE,
        /** The request must not be sent. */
        REFUSE
    }
}
