package org.cranberrybend.runtime.platform;

/**
 * An upstream order as listed by the platform.
 *
 * @param orderId identifier chosen by the sender
 * @param action {@code start} or {@code stop}
 * @param state state of the order in the platform, such as {@link #UNAVAILABLE}
 * @param upstreamId upstream that was started or is to be stopped; empty if the platform does not name it
 */
public record AcceptedOrder(String orderId, String action, String state, String upstreamId) {
    /** State of a start order for which the platform currently has no upstream available. */
    public static final String UNAVAILABLE = "unavailable";

    /** Returns whether this is a start order that the platform could not execute. */
    public boolean isUnavailable() {
        return state.equals(UNAVAILABLE);
    }
}
