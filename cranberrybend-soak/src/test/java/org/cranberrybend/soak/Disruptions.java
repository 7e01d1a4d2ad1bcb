package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Time spans in which faults or a restart disrupt an instance or all instances; bounds are not checked there. Times are
 * milliseconds of the run's clock.
 */
final class Disruptions {
    /** Stands for all instances. */
    static final String ALL = "*";

    private record Span(String instance, long fromMs, long untilMs) {}

    private final List<Span> spans = new ArrayList<>();

    synchronized void add(String instance, long fromMs, long untilMs) {
        spans.add(new Span(instance, fromMs, untilMs));
    }

    /**
     * Returns whether an instance was not disrupted in a span and in the recovery grace period before it. With {@link
     * #ALL}, no instance may have been.
     */
    synchronized boolean isUndisrupted(String instance, long fromMs, long untilMs) {
        return spans.stream()
                .filter(span -> instance.equals(ALL) || span.instance.equals(ALL) || span.instance.equals(instance))
                .noneMatch(span -> span.fromMs <= untilMs && span.untilMs >= fromMs - SoakBounds.RECOVERY_GRACE_MS);
    }

    /** Returns whether no fault of this instance alone, such as a suspension, lay in a span. */
    synchronized boolean isUndisturbed(String instance, long fromMs, long untilMs) {
        return spans.stream()
                .filter(span -> span.instance.equals(instance))
                .noneMatch(span -> span.fromMs <= untilMs && span.untilMs >= fromMs);
    }
}
