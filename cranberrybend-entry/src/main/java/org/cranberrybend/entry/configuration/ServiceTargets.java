package org.cranberrybend.entry.configuration;

/**
 * The targets of the streaming routes to one service: for the first event and for the longest pause between events.
 *
 * <p>Targets for the first event that differ widely divide the routes. Where they do not, the targets for pauses do: it
 * is the pauses that the prompts of other requests cause.
 */
final class ServiceTargets {
    /** Ratio to the tightest target for the first event up to which a route counts as latency-sensitive. */
    private static final double FIRST_EVENT_RATIO = 2;

    /**
     * The same ratio for pauses. It is smaller because one long prompt makes a pause as long as the tightest targets: a
     * route that tolerates longer ones must not share engines with a route that does not.
     */
    private static final double EVENT_GAP_RATIO = 1.25;

    private final Range firstEvent = new Range(FIRST_EVENT_RATIO, LatencyClass.SENSITIVE, LatencyClass.TOLERANT);
    private final Range eventGap =
            new Range(EVENT_GAP_RATIO, LatencyClass.SENSITIVE_TO_PAUSES, LatencyClass.TOLERANT_OF_PAUSES);

    /** The tightest and the longest target of one kind, in milliseconds; a target of 0 is none. */
    private static final class Range {
        private final double sensitiveRatio;
        private final LatencyClass sensitive;
        private final LatencyClass tolerant;
        private long tightestMs = Long.MAX_VALUE;
        private long longestMs;
        private boolean hasRouteWithoutTarget;

        Range(double sensitiveRatio, LatencyClass sensitive, LatencyClass tolerant) {
            this.sensitiveRatio = sensitiveRatio;
            this.sensitive = sensitive;
            this.tolerant = tolerant;
        }

        void add(long targetMs) {
            if (targetMs > 0) {
                tightestMs = Math.min(tightestMs, targetMs);
                longestMs = Math.max(longestMs, targetMs);
            } else {
                hasRouteWithoutTarget = true;
            }
        }

        LatencyClass classOf(long targetMs) {
            if (longestMs == 0 || !hasRouteWithoutTarget && isSensitive(longestMs)) {
                return LatencyClass.UNIFORM;
            }
            return targetMs > 0 && isSensitive(targetMs) ? sensitive : tolerant;
        }

        private boolean isSensitive(long targetMs) {
            return targetMs <= sensitiveRatio * tightestMs;
        }
    }

    void add(Route route) {
        firstEvent.add(route.targetLatencyMs());
        eventGap.add(route.eventGapTargetMs());
    }

    /** Returns the class of a route among the routes to the service. */
    LatencyClass classOf(Route route) {
        LatencyClass byFirstEvent = firstEvent.classOf(route.targetLatencyMs());
        return byFirstEvent == LatencyClass.UNIFORM ? eventGap.classOf(route.eventGapTargetMs()) : byFirstEvent;
    }
}
