package org.cranberrybend.router.route;

/** Estimated bytes charged to the inter-region link budget for one request, adjusted once it has ended. */
@FunctionalInterface
public interface LinkCharge {
    /** Charge of a request that stays within the region. */
    LinkCharge NONE = actualBytes -> {};

    /** Replaces the estimated bytes by the actual ones. Must be called once. */
    void settle(long actualBytes);
}
