package org.cranberrybend.core.admission;

/**
 * Outcome of the use of a slot, sent with its release.
 *
 * @param result how the use ended
 * @param promptTokens prompt tokens processed
 * @param outputTokens output tokens received
 * @param firstTokenMs time from sending the request to the first token in milliseconds, or -1 if there was none
 * @param totalMs time from sending the request to the end of the response in milliseconds
 */
public record SlotOutcome(SlotResult result, long promptTokens, long outputTokens, long firstTokenMs, long totalMs) {}
