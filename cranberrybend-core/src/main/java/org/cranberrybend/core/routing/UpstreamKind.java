package org.cranberrybend.core.routing;

/** What an upstream does. */
public enum UpstreamKind {
    /** Serves models. */
    ENGINE,
    /** Serves the calls of a plain service. */
    SERVICE
}
