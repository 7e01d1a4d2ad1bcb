package org.cranberrybend.entry.upstream;

import org.cranberrybend.core.engine.EngineEstimator;
import org.cranberrybend.core.engine.EngineLoad;
import org.cranberrybend.core.engine.LatencyEstimate;
import org.cranberrybend.core.engine.PrefixMemory;
import org.cranberrybend.core.engine.ServiceEngineModel;
import org.cranberrybend.core.routing.RendezvousHash;

/** What this process knows of one upstream as a model engine: its speed and the prefixes that it has cached. */
public final class EngineState {
    private final EngineEstimator estimator;
    private final UpstreamLoad load;
    /** Identifies the engine in hashes; equal in all instances. */
    private final long hash;

    private final long groupHash;

    EngineState(String upstreamId, ServiceEngineModel service, UpstreamLoad load) {
        this.estimator = new EngineEstimator(service);
        this.load = load;
        this.hash = RendezvousHash.hash("engine", upstreamId);
        this.groupHash = EngineGroups.hash(upstreamId);
    }

    /** Returns the estimator of the engine. */
    public EngineEstimator estimator() {
        return estimator;
    }

    long groupHash() {
        return groupHash;
    }

    long hash() {
        return hash;
    }

    /** Returns whether the shared prefix of a prompt is known to be in the engine's cache. */
    public boolean isCached(long prefixHash, long nowMs) {
        return prefixes().isCached(prefixHash, hash, nowMs);
    }

    /** Records that a request with a shared prefix is sent. */
    public void recordPrefix(long prefixHash, long nowMs) {
        prefixes().recordSent(prefixHash, hash, nowMs);
    }

    private PrefixMemory prefixes() {
        return estimator.service().prefixes();
    }

    /** Returns the prompt tokens that the engine has to prefill, as far as this process knows. */
    public int uncachedTokens(Prompt prompt, long prefixHash, long nowMs) {
        return prompt.uniqueTokens() + (isCached(prefixHash, nowMs) ? 0 : prompt.sharedPrefixTokens());
    }

    /** Returns the expected effect of sending a request. */
    public LatencyEstimate estimate(double uncachedTokens, int slots, long nowMs) {
        return estimator.estimate(uncachedTokens, expectedLoad(slots, nowMs), slots, nowMs);
    }

    /** Returns the expected load; its age is 0, as the requests that others have sent since are included. */
    EngineLoad expectedLoad(int slots, long nowMs) {
        return new EngineLoad(
                load.running(),
                load.expectedRequests(slots, nowMs),
                load.prefillTokens(),
                load.service().isReported() ? 0 : EngineLoad.NO_REPORT);
    }
}
