package org.cranberrybend.core.error;

/** Ends a request with a typed error. */
public final class RequestFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Value of {@link #retryAfterMs()} when no waiting time is known. */
    public static final long NO_RETRY_AFTER_MS = -1;

    private final ErrorCode code;
    private final RunState runState;
    private final long retryAfterMs;

    private RequestFailedException(ErrorCode code, RunState runState, long retryAfterMs, Object... arguments) {
        super(code.message(arguments));
        this.code = code;
        this.runState = runState;
        this.retryAfterMs = retryAfterMs;
    }

    /** Creates the error of a request of which no byte reached an upstream. */
    public static RequestFailedException notRun(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.NOT_RUN, NO_RETRY_AFTER_MS, arguments);
    }

    /** Creates the error of a request that was not run and may be sent again after the given time. */
    public static RequestFailedException notRunRetryAfter(long retryAfterMs, ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.NOT_RUN, retryAfterMs, arguments);
    }

    /** Creates the error of a request that may have run. */
    public static RequestFailedException outcomeUnknown(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.OUTCOME_UNKNOWN, NO_RETRY_AFTER_MS, arguments);
    }

    /** Creates the error of a request that may have run and whose outcome may be known after the given time. */
    public static RequestFailedException outcomeUnknownRetryAfter(
            long retryAfterMs, ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.OUTCOME_UNKNOWN, retryAfterMs, arguments);
    }

    /** Creates the error of a request that ran, at least in part. */
    public static RequestFailedException ran(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.RAN, NO_RETRY_AFTER_MS, arguments);
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }

    /** Returns whether the request ran. */
    public RunState runState() {
        return runState;
    }

    /** Returns the waiting time before a repeat in milliseconds, or {@link #NO_RETRY_AFTER_MS}. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
