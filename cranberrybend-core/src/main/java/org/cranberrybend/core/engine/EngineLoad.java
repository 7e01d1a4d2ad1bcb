package org.cranberrybend.core.engine;

/**
 * What an instance knows of the load of an engine.
 *
 * @param ownRequests requests of this instance at the engine
 * @param requests requests of all instances at the engine, running and waiting, as of the last report
 * @param ownPrefillTokens prompt tokens that this instance has sent and whose prefill is not complete
 * @param ageMs age of the report, in milliseconds; {@link #NO_REPORT} if there is none
 */
public record EngineLoad(int ownRequests, double requests, long ownPrefillTokens, long ageMs) {
    /** Age that stands for a missing report. */
    public static final long NO_REPORT = Long.MAX_VALUE;
}
