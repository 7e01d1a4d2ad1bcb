package org.cranberrybend.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

/**
 * The faults of one run, all drawn from one seed. Faults overlap, and a fault may come in a burst.
 *
 * @param seed seed that the faults are drawn from
 * @param entries faults ordered by time
 */
record Schedule(long seed, List<Entry> entries) {
    /** Time at the end of a run in which no fault is drawn, and in which the fleet has to recover. */
    static final long RECOVERY_MS = 9_000;

    private static final long FIRST_FAULT_MS = 1_000;
    private static final long MEAN_GAP_MS = 1_100;
    private static final long BURST_GAP_MS = 350;
    private static final int MAX_BURST = 3;
    /** Faults that overlap at any time: all before {@link Fault#ZONE_EVACUATED}. */
    private static final int FAULT_KINDS = Fault.ZONE_EVACUATED.ordinal();
    /** Shortest duration of the faults that are drawn apart; longer than the time after which their bounds hold. */
    private static final long MIN_APART_MS = 6_500;

    private static final long EVACUATION_SEED_OFFSET = 1L << 32;
    private static final long LIMIT_SEED_OFFSET = 1L << 33;

    /**
     * One fault.
     *
     * @param atMs time since the start of the run
     * @param fault kind of the fault
     * @param target number from which the affected instance or upstream is derived
     * @param durationMs duration of the fault
     */
    record Entry(long atMs, Fault fault, int target, long durationMs) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%6d ms %s of %d for %d ms", atMs, fault, target, durationMs);
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
        while (atMs < lengthMs - RECOVERY_MS) {
            Fault fault = Fault.values()[random.nextInt(FAULT_KINDS)];
            int burstSize = random.nextInt(4) == 0 ? 1 + random.nextInt(MAX_BURST) : 1;
            for (int i = 0; i < burstSize; i++) {
                long maxDurationMs = Math.max(0, Math.min(fault.maxDurationMs(), lengthMs - RECOVERY_MS - atMs));
                long durationMs = maxDurationMs / 4 + (long) (random.nextDouble() * maxDurationMs * 3 / 4);
                entries.add(new Entry(atMs + i * BURST_GAP_MS, fault, random.nextInt(instances * 16), durationMs));
            }
            atMs += (long) (MEAN_GAP_MS * (0.3 + 1.4 * random.nextDouble()));
        }
        drawApart(Fault.ZONE_EVACUATED, seed + EVACUATION_SEED_OFFSET, lengthMs).ifPresent(entries::add);
        drawApart(Fault.UPSTREAM_LIMITED, seed + LIMIT_SEED_OFFSET, lengthMs).ifPresent(entries::add);
        entries.sort(Comparator.comparingLong(Entry::atMs));
        return new Schedule(seed, entries);
    }

    /** Draws a fault once, from random numbers of its own, so that the other faults of a seed stay the same. */
    private static Optional<Entry> drawApart(Fault fault, long seed, long lengthMs) {
        Random random = new Random(seed);
        long longestMs = Math.min(fault.maxDurationMs(), lengthMs - RECOVERY_MS - FIRST_FAULT_MS);
        if (longestMs < MIN_APART_MS) {
            return Optional.empty();
        }
        long durationMs = MIN_APART_MS + (long) (random.nextDouble() * (longestMs - MIN_APART_MS));
        long latestMs = lengthMs - RECOVERY_MS - durationMs;
        long atMs = FIRST_FAULT_MS + (long) (random.nextDouble() * (latestMs - FIRST_FAULT_MS));
        return Optional.of(new Entry(atMs, fault, random.nextInt(16), durationMs));
    }
}
