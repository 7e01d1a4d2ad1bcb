package org.cranberrybend.entry.http;

/**
 * Time limits of an API call.
 *
 * <p>A response that is large for the link arrives late although nothing is wrong. If it is given up after a fixed time and
 * requested again, what the link has carried is lost, and several instances that do so may never receive anything. A call
 * may therefore go on for as long as parts of its response arrive, up to a limit.
 *
 * @param responseMs time until the response begins, in milliseconds
 * @param silenceMs longest time without a part of the response after that, in milliseconds
 * @param totalMs time until the response is complete, in milliseconds
 */
public record CallLimits(long responseMs, long silenceMs, long totalMs) {
    public CallLimits {
        if (responseMs <= 0 || silenceMs <= 0 || totalMs < responseMs) {
            throw new IllegalArgumentException(
                    "limits of " + responseMs + ", " + silenceMs + " and " + totalMs + " ms");
        }
    }

    /** Returns the limits of a call whose response must be complete within a time, in milliseconds. */
    public static CallLimits total(long totalMs) {
        return new CallLimits(totalMs, totalMs, totalMs);
    }
}
