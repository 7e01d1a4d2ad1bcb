package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * The faults of one run, all from one seed. Faults overlap and come in series.
 *
 * @param seed seed that the faults follow from
 * @param entries faults in the order of their times
 */
record Schedule(long seed, List<Entry> entries) {
    /** Time without faults before the end, in which the fleet has to recover. */
    static final long CALM_END_MS = 9_000;

    private static final long FIRST_FAULT_MS = 1_000;
    private static final long MEAN_GAP_MS = 1_100;
    private static final long SERIES_GAP_MS = 350;
    private static final int MAX_SERIES = 3;

    /**
     * One fault.
     *
     * @param atMs time since the start of the run
     * @param target number from which the affected instance or upstream is derived
     * @param forMs time for which it lasts
     */
    record Entry(long atMs, Fault fault, int target, long forMs) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%6d ms %s of %d for %d ms", atMs, fault, target, forMs);
        }
    }

    Schedule {
        entries = List.copyOf(entries);
    }

    /** Draws the faults of a run. */
    static Schedule draw(long seed, long lengthMs, int instances) {
        Random random = new Random(seed);
        List<Entry> entries = new ArrayList<>();
        long atMs = FIRST_FAULT_MS;
        while (atMs < lengthMs - CALM_END_MS) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            int series = random.nextInt(4) == 0 ? 1 + random.nextInt(MAX_SERIES) : 1;
            for (int i = 0; i < series; i++) {
                long longest = Math.max(0, Math.min(fault.longestMs(), lengthMs - CALM_END_MS - atMs));
                long forMs = longest / 4 + (long) (random.nextDouble() * longest * 3 / 4);
                entries.add(new Entry(atMs + i * SERIES_GAP_MS, fault, random.nextInt(instances * 16), forMs));
            }
            atMs += (long) (MEAN_GAP_MS * (0.3 + 1.4 * random.nextDouble()));
        }
        entries.sort(Comparator.comparingLong(Entry::atMs));
        return new Schedule(seed, entries);
    }
}
