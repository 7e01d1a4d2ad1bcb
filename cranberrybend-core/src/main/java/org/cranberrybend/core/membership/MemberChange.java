package org.cranberrybend.core.membership;

/**
 * A change of what a process believes about a member.
 *
 * @param kind what changed
 * @param member the member after the change
 */
public record MemberChange(Kind kind, Member member) {
    /** Kinds of changes. */
    public enum Kind {
        /** A member became known, or a new run replaced the one known before. */
        JOINED,
        /** A suspect or dead member refuted it. */
        RECOVERED,
        /** A member does not answer probes. */
        SUSPECTED,
        /** A member is draining. */
        LEAVING,
        /** A suspicion was not refuted in time. */
        DEAD,
        /** This process refuted a suspicion about itself. */
        REFUTED,
        /** This process was paused. */
        PAUSED,
        /** Another process with the same member identifier started later than this one. */
        REPLACED
    }
}
