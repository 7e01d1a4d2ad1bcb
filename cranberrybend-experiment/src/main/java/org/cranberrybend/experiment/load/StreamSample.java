package org.cranberrybend.experiment.load;

import java.util.List;

/**
 * One answered request.
 *
 * @param firstTokenNs time from sending to the first token, in nanoseconds
 * @param interTokenNs times between consecutive tokens, in nanoseconds
 * @param complete whether the final event arrived
 */
public record StreamSample(long firstTokenNs, List<Long> interTokenNs, boolean complete) {
    /** Returns the number of tokens received. */
    public int tokens() {
        return firstTokenNs < 0 ? 0 : interTokenNs.size() + 1;
    }
}
