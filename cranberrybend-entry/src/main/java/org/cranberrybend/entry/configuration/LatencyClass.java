package org.cranberrybend.entry.configuration;

/**
 * How tight the latency targets of a streaming route are compared with those of the other routes to the same service.
 *
 * <p>An engine interleaves the prefill of prompts with the generation of tokens, so each long prompt delays all streams
 * of its engine. Routes with tight targets therefore have engines of their own, which long drafts do not reach. A
 * service whose targets are all similar has no such drafts; dividing its engines would only load a part of them more.
 */
public enum LatencyClass {
    /** The target is among the tightest of a service that also has tolerant routes. */
    SENSITIVE,

    /** The target is clearly longer than the tightest one of the service. */
    TOLERANT,

    /** The targets of all streaming routes of the service are similar. */
    UNIFORM;

    /** Share of the engines that serves latency-sensitive requests. */
    private static final double SENSITIVE_SHARE = 0.4;

    /** Returns how many of at least two engines serve the sensitive requests; the others serve the tolerant ones. */
    public static int sensitiveCount(int engines) {
        return (int) Math.max(1, Math.round(engines * SENSITIVE_SHARE));
    }
}
