package org.cranberrybend.router.route;

/** Bytes charged for one use of the link between regions, corrected once the use has ended. */
@FunctionalInterface
public interface LinkCharge {
    /** The charge of a use that stays inside the region. */
    LinkCharge NONE = actualBytes -> {};

    /** Replaces the expected bytes by the actual ones. Called once. */
    void settle(long actualBytes);
}
