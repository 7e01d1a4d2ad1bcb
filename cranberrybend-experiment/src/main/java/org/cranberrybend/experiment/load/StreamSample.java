package org.cranberrybend.experiment.load;

import java.util.List;

/**
 * Timing of one streamed response.
 *
 * @param firstTokenNs time from sending the request to the first token in nanoseconds, or -1 if there was no token
 * @param interTokenNs times between consecutive tokens in nanoseconds
 * @param complete whether the final {@code [DONE]} event arrived
 */
public record StreamSample(long firstTokenNs, List<Long> interTokenNs, boolean complete) {
    /** Returns the number of tokens received. */
    public int tokens() {
        return firstTokenNs < 0 ? 0 : interTokenNs.size() + 1;
    }
}
