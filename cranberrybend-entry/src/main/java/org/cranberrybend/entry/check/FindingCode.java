package org.cranberrybend.entry.check;

/** What the check of a configuration can find. An instance refuses a configuration with an error. */
public enum FindingCode {
    /** The decoder refuses the document. */
    INVALID(true),
    /** The version is not above the one in force, or not above 0. */
    VERSION_NOT_NEWER(true),
    /** A route has the host and prefix of an earlier one, which receives all of their requests. */
    ROUTE_HIDDEN(false),
    /** A service has the name of an earlier one, which it replaces. */
    SERVICE_REPLACED(false),
    /** No route names the service. */
    SERVICE_UNUSED(false),
    /** A target receives no requests because of its weight. */
    TARGET_WITHOUT_WEIGHT(false),
    /** A service has no zone in an allowed region. */
    REGION_WITHOUT_ZONE(false),
    /** Two accounts list the same API key. */
    KEY_SHARED(false),
    /** No header can hold the name or a key of an account, or the host or prefix of a route. */
    TEXT_UNUSABLE_IN_HEADER(false),
    /** The target for the latency is above the timeout. */
    LATENCY_TARGET_ABOVE_TIMEOUT(false),
    /** The target for the pause between events is above the timeout. */
    PAUSE_TARGET_ABOVE_TIMEOUT(false),
    /** The allowed regions of a route and of accounts have nothing in common. */
    REGIONS_DISJOINT(false),
    /** One body may be larger than the memory of an instance. */
    BODY_LIMIT_ABOVE_MEMORY(false);

    private final boolean error;

    FindingCode(boolean error) {
        this.error = error;
    }

    /** Returns whether an instance refuses the configuration; otherwise the finding is a warning. */
    public boolean isError() {
        return error;
    }
}
