package org.cranberrybend.router.dispatch;

import org.cranberrybend.core.error.ErrorCode;

/**
 * How a response ended after it was started.
 *
 * @param error error that ended a stream prematurely; null if the response is complete
 */
public record DispatchResult(ErrorCode error) {
    /** The response is complete. */
    public static final DispatchResult COMPLETED = new DispatchResult(null);

    /** Returns whether the response is complete. */
    public boolean isComplete() {
        return error == null;
    }
}
