package org.cranberrybend.core.membership;

/**
 * Settings of the membership protocol.
 *
 * @param suspicionMs time that a suspect member has to refute before it is declared dead, in milliseconds
 * @param pauseMs time between two ticks above which this process was paused, in milliseconds
 * @param deadRetentionMs time for which a dead member is listed, gossiped and probed, in milliseconds
 * @param retransmitFactor number of transmissions of an update, as a multiple of the binary logarithm of the member
 *     count
 */
public record MembershipSettings(long suspicionMs, long pauseMs, long deadRetentionMs, int retransmitFactor) {
    /**
     * Default settings. Dead members are kept for longer than the network partitions of several minutes that
     * docs/design.md expects in "Sizes", so that both sides find each other again without seed addresses.
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
