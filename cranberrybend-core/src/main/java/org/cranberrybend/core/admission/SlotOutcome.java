package org.cranberrybend.core.admission;

/**
 * Report of a slot's use, sent with its release.
 *
 * @param result how the use ended
 * @param promptTokens prompt tokens processed
 * @param outputTokens output tokens received
 * @param firstTokenMs time from sending to the first token in milliseconds, or -1 if none came
 * @param totalMs time from sending to the end in milliseconds
 */
public record SlotOutcome(SlotResult result, long promptTokens, long outputTokens, long firstTokenMs, long totalMs) {}
