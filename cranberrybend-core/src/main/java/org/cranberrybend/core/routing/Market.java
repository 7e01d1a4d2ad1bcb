package org.cranberrybend.core.routing;

/** Terms under which an upstream runs. */
public enum Market {
    /** Runs until released. */
    GUARANTEED,
    /** Cheaper; the platform may reclaim it at any time, and with it all others of its availability zone. */
    PREEMPTIBLE
}
