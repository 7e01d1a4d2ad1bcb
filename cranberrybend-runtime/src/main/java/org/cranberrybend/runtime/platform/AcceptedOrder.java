package org.cranberrybend.runtime.platform;

/**
 * An upstream order as listed by the platform.
 *
 * @param orderId identifier chosen by the sender
 * @param action {@code start} or {@code stop}
 * @param state what became of it, {@link #UNAVAILABLE} among others
 * @param upstreamId upstream that a start created or a stop names; empty if the platform does not say
 */
public record AcceptedOrder(String orderId, String action, String state, String upstreamId) {
    /** State of a start for which the platform has no upstream at present. */
    public static final String UNAVAILABLE = "unavailable";

    /** Returns whether the order was a start that the platform could not carry out. */
    public boolean isUnavailable() {
        return state.equals(UNAVAILABLE);
    }
}
