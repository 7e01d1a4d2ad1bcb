package org.cranberrybend.core.routing;

/** Market in which an upstream was ordered; decides whether the platform may reclaim it. */
public enum Market {
    /** Runs until released. */
    GUARANTEED,
    /** Cheaper; the platform may reclaim it at any time, together with all others of its availability zone. */
    PREEMPTIBLE
}
