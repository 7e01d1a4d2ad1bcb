package org.cranberrybend.core.engine;

/**
 * Expected effect of sending a request to an engine. All times are in milliseconds.
 *
 * @param firstEventMs time from sending to the first event
 * @param longestPauseMs longest pause between two events of the request's own stream
 * @param addedPauseMs pause that the prefill of the request causes in the streams already at the engine
 */
public record LatencyEstimate(double firstEventMs, double longestPauseMs, double addedPauseMs) {}
