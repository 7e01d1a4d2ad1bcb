package org.cranberrybend.core.event;

import java.util.Comparator;
import java.util.Locale;

/**
 * Timestamp of a hybrid logical clock. It orders causally related events of different processes despite clock skew.
 *
 * @param wallMs highest wall clock time observed, in milliseconds since the epoch
 * @param counter logical counter that orders events with the same {@code wallMs}
 */
public record HybridTimestamp(long wallMs, int counter) implements Comparable<HybridTimestamp> {
    private static final Comparator<HybridTimestamp> ORDER =
            Comparator.comparingLong(HybridTimestamp::wallMs).thenComparingInt(HybridTimestamp::counter);

    /** The lowest timestamp. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    public HybridTimestamp {
        if (wallMs < 0 || counter < 0) {
            throw new IllegalArgumentException("timestamp must not be negative: " + wallMs + "." + counter);
        }
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        return ORDER.compare(this, other);
    }

    /** Parses the form written by {@link #toString()}. */
    public static HybridTimestamp parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 0) {
            throw new IllegalArgumentException("timestamp has no counter: " + text);
        }
        return new HybridTimestamp(Long.parseLong(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%d.%04d", wallMs, counter);
    }
}
