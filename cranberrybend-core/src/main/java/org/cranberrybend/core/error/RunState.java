package org.cranberrybend.core.error;

/** What a caller may assume about the execution of a request that was answered with an error. */
public enum RunState {
    /** No byte of the request reached an upstream, or the upstream itself said that it did not run the request. */
    NOT_RUN("not_run"),
    /** The request may have run. */
    OUTCOME_UNKNOWN("outcome_unknown"),
    /** The request ran, at least in part. */
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
