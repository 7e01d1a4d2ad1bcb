package org.cranberrybend.core.error;

/** Whether a request that ended with an error was executed by an upstream. */
public enum RunState {
    /** No byte of the request reached an upstream, or the upstream rejected the request without executing it. */
    NOT_RUN("not_run"),
    /** The request may have been executed. */
    OUTCOME_UNKNOWN("outcome_unknown"),
    /** The request was executed, at least in part. */
    RAN("ran");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in error bodies. */
    public String wireName() {
        return wireName;
    }
}
