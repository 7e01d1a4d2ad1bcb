package org.cranberrybend.core.usage;

/**
 * A period for which usage is billed.
 *
 * @param startMs start in milliseconds since the epoch, a multiple of {@link #LENGTH_MS}
 */
public record UsageWindow(long startMs) implements Comparable<UsageWindow> {
    /** Length of every window in milliseconds. */
    public static final long LENGTH_MS = UsageCounters.WINDOW_MS;

    public UsageWindow {
        if (startMs < 0 || startMs % LENGTH_MS != 0) {
            throw new IllegalArgumentException("window start must be a multiple of " + LENGTH_MS + ": " + startMs);
        }
    }

    /** Returns the window that contains a time. */
    public static UsageWindow containing(long timeMs) {
        return new UsageWindow(Math.floorDiv(timeMs, LENGTH_MS) * LENGTH_MS);
    }

    /** Returns the end of the window (exclusive) in milliseconds since the epoch. */
    public long endMs() {
        return startMs + LENGTH_MS;
    }

    /** Returns the window after this one. */
    public UsageWindow next() {
        return new UsageWindow(endMs());
    }

    /** Returns the window that is the given number of windows earlier, at the earliest the first one. */
    public UsageWindow minusWindows(int windows) {
        return new UsageWindow(Math.max(0, startMs - windows * LENGTH_MS));
    }

    @Override
    public int compareTo(UsageWindow other) {
        return Long.compare(startMs, other.startMs);
    }
}
