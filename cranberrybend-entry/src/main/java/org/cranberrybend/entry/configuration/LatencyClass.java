package org.cranberrybend.entry.configuration;

import java.util.List;

/**
 * How tight the latency targets of a streaming route are compared with those of the other routes to the same service.
 *
 * <p>An engine interleaves the prefill of prompts with the generation of tokens, so each long prompt delays all streams
 * of its engine. Routes with tight targets therefore have engines of their own, which long drafts do not reach. A
 * service whose targets are all similar has no such drafts; dividing its engines would only load a part of them more.
 */
public enum LatencyClass {
    /** The target is among the tightest of a service that also has tolerant routes. */
    SENSITIVE {
        @Override
        public <T> List<T> partOf(List<T> engines) {
            return engines.size() < 2 ? engines : engines.subList(0, sensitiveCount(engines.size()));
        }
    },

    /** The target is clearly longer than the tightest one of the service. */
    TOLERANT {
        @Override
        public <T> List<T> partOf(List<T> engines) {
            return engines.size() < 2 ? engines : engines.subList(sensitiveCount(engines.size()), engines.size());
        }
    },

    /** The targets of all streaming routes of the service are similar. */
    UNIFORM {
        @Override
        public <T> List<T> partOf(List<T> engines) {
            return engines;
        }
    };

    /** Share of the engines that serves latency-sensitive requests. */
    private static final double SENSITIVE_SHARE = 0.4;

    /** Returns the engines that serve requests of this class, as a part of an ordered list of engines. */
    public abstract <T> List<T> partOf(List<T> engines);

    private static int sensitiveCount(int engines) {
        return (int) Math.max(1, Math.round(engines * SENSITIVE_SHARE));
    }
}
