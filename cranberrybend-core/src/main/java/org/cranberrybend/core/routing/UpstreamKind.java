package org.cranberrybend.core.routing;

/** Kind of an upstream. */
public enum UpstreamKind {
    /** Serves models. */
    ENGINE,
    /** Serves the requests of a plain service. */
    SERVICE
}
