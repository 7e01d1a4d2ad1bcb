package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.List;

/** When something disturbed an instance, or all of them. Times are milliseconds since the start of the run. */
final class Disturbances {
    /** Name that stands for all instances. */
    static final String ALL = "*";

    private record Span(String instance, long fromMs, long untilMs) {}

    private final List<Span> spans = new ArrayList<>();

    synchronized void add(String instance, long fromMs, long untilMs) {
        spans.add(new Span(instance, fromMs, untilMs));
    }

    /** Returns whether an instance was free of disturbance in a span and long enough before it to keep its bounds. */
    synchronized boolean isCalm(String instance, long fromMs, long untilMs) {
        return spans.stream()
                .filter(span -> instance.equals(ALL) || span.instance.equals(ALL) || span.instance.equals(instance))
                .noneMatch(span -> span.fromMs <= untilMs && span.untilMs >= fromMs - SoakBounds.CONTACT_MS);
    }
}
