package org.cranberrybend.core.usage;

/**
 * A time span for which usage is billed.
 *
 * @param startMs start in milliseconds since the epoch, a multiple of the length
 */
public record UsageWindow(long startMs) implements Comparable<UsageWindow> {
    /** Length of every window in milliseconds. */
    public static final long LENGTH_MS = UsageCounters.WINDOW_MS;

    public UsageWindow {
        if (startMs < 0 || startMs % LENGTH_MS != 0) {
            throw new IllegalArgumentException("window start must be a multiple of " + LENGTH_MS + ": " + startMs);
        }
    }

    /** Returns the window that contains a moment. */
    public static UsageWindow containing(long timeMs) {
        return new UsageWindow(Math.floorDiv(timeMs, LENGTH_MS) * LENGTH_MS);
    }

    /** Returns the first moment after the window. */
    public long endMs() {
        return startMs + LENGTH_MS;
    }

    /** Returns the window after this one. */
    public UsageWindow next() {
        return new UsageWindow(endMs());
    }

    /** Returns the window a number of windows earlier. */
    public UsageWindow minusWindows(int windows) {
        return new UsageWindow(Math.max(0, startMs - windows * LENGTH_MS));
    }

    @Override
    public int compareTo(UsageWindow other) {
        return Long.compare(startMs, other.startMs);
    }
}
