package org.cranberrybend.core.membership;

/**
 * Bounds of the membership protocol.
 *
 * @param suspicionMs time that a suspect has to refute before it is declared dead, in milliseconds
 * @param pauseMs gap between two ticks above which this process counts as paused, in milliseconds
 * @param deadRetentionMs time that a dead member is listed, gossiped and probed, in milliseconds
 * @param retransmitFactor times that a change is passed on, per binary logarithm of the member count
 */
public record MembershipSettings(long suspicionMs, long pauseMs, long deadRetentionMs, int retransmitFactor) {
    /**
     * The bounds used by the daemons. Dead members are kept for longer than the partitions of some minutes in
     * docs/design.md, "Sizes", so that both sides find each other again without seeds.
     */
    public static final MembershipSettings DEFAULT = new MembershipSettings(3_000, 2_000, 900_000, 4);

    public MembershipSettings {
        if (suspicionMs < 1 || pauseMs < 1 || deadRetentionMs < suspicionMs || retransmitFactor < 1) {
            throw new IllegalArgumentException("membership bounds must be positive, and dead members must be kept"
                    + " for at least the suspicion time: " + suspicionMs + ", " + pauseMs + ", " + deadRetentionMs
                    + ", " + retransmitFactor);
        }
    }
}
