package org.cranberrybend.entry.configuration;

/**
 * How tight the latency targets of a streaming route are compared with those of the other routes to the same service.
 *
 * <p>An engine interleaves the prefill of prompts with the generation of tokens, so each long prompt delays all streams
 * of its engine. Routes with tight targets therefore have engines of their own, which long drafts do not reach. A
 * service whose targets are all similar has no such drafts; dividing its engines would only load a part of them more.
 */
public enum LatencyClass {
    /** The target for the first event is among the tightest of a service that also has tolerant routes. */
    SENSITIVE(true, LatencyClass.SHARE_BY_FIRST_EVENT),

    /** The target for the first event is clearly longer than the tightest one of the service. */
    TOLERANT(false, LatencyClass.SHARE_BY_FIRST_EVENT),

    /** The targets for the first event are similar; the target for pauses is among the tightest. */
    SENSITIVE_TO_PAUSES(true, LatencyClass.SHARE_BY_PAUSES),

    /** The targets for the first event are similar; the target for pauses is clearly longer than the tightest one. */
    TOLERANT_OF_PAUSES(false, LatencyClass.SHARE_BY_PAUSES),

    /** The targets of all streaming routes of the service are similar. */
    UNIFORM(false, 0);

    /** Share of the engines that serves the sensitive requests of services that first events divide. */
    private static final double SHARE_BY_FIRST_EVENT = 0.4;
    /**
     * The same share for services that pauses divide. It is smaller, since only short prompts keep tight targets for
     * pauses: such requests wait for few prefills, and an engine generates tokens for many of them at the same time.
     */
    private static final double SHARE_BY_PAUSES = 0.25;

    private final boolean sensitive;
    private final double sensitiveShare;

    LatencyClass(boolean sensitive, double sensitiveShare) {
        this.sensitive = sensitive;
        this.sensitiveShare = sensitiveShare;
    }

    /** Returns whether requests of this class have engines that long prompts do not reach. */
    public boolean isSensitive() {
        return sensitive;
    }

    /** Returns how many of at least two engines serve the sensitive requests; the others serve the tolerant ones. */
    public int sensitiveCount(int engines) {
        return (int) Math.max(1, Math.round(engines * sensitiveShare));
    }
}
