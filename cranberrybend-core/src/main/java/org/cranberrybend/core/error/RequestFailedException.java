package org.cranberrybend.core.error;

/** Signals that a request failed with an error code. */
public final class RequestFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Value of {@link #retryAfterMs()} if no delay before a retry is known. */
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

    /** Creates the error of a request that was not executed by an upstream. */
    public static RequestFailedException notRun(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.NOT_RUN, NO_RETRY_AFTER_MS, arguments);
    }

    /** Creates the error of a request that was not executed and may be retried after the given time. */
    public static RequestFailedException notRunRetryAfter(long retryAfterMs, ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.NOT_RUN, retryAfterMs, arguments);
    }

    /** Creates the error of a request that may have been executed. */
    public static RequestFailedException outcomeUnknown(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.OUTCOME_UNKNOWN, NO_RETRY_AFTER_MS, arguments);
    }

    /**
     * Creates the error of a request that may have been executed and whose outcome may be known after the given time.
     */
    public static RequestFailedException outcomeUnknownRetryAfter(
            long retryAfterMs, ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.OUTCOME_UNKNOWN, retryAfterMs, arguments);
    }

    /** Creates the error of a request that was executed, at least in part. */
    public static RequestFailedException ran(ErrorCode code, Object... arguments) {
        return new RequestFailedException(code, RunState.RAN, NO_RETRY_AFTER_MS, arguments);
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }

    /** Returns whether the request was executed. */
    public RunState runState() {
        return runState;
    }

    /** Returns the delay before a retry in milliseconds, or {@link #NO_RETRY_AFTER_MS}. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
