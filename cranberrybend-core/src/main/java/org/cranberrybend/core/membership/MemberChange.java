package org.cranberrybend.core.membership;

/**
 * A change of a member's state as known to this process.
 *
 * @param kind what changed
 * @param member the member after the change
 */
public record MemberChange(Kind kind, Member member) {
    /** Kinds of changes. */
    public enum Kind {
        /** A member became known, or a new incarnation replaced the known one. */
        JOINED,
        /** A suspect or dead member refuted its state. */
        RECOVERED,
        /** A member does not reply to probes. */
        SUSPECTED,
        /** A member is draining. */
        LEAVING,
        /** A member did not refute a suspicion in time. */
        DEAD,
        /** This process refuted a suspicion about itself. */
        REFUTED,
        /** This process was paused. */
        PAUSED,
        /** Another process with the same member identifier started later than this one. */
        REPLACED
    }
}
