package org.cranberrybend.core.rateshare;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * A fleet that has requests for one upstream with a stated limit at all times, and an oracle that counts what all
 * instances send. Each instance has a clock and a list of instances of its own.
 */
class StatedLimitFuzzTest {
    private static final String SEED = "20261206";
    private static final LimitBound BOUND = new LimitBound(4_000, 1.5, 5);
    private static final long LENGTH_MS = 90_000;
    private static final int MAX_STEP_MS = 40;
    private static final long LONG_AGO_MS = -100_000;

    private static final class Instance {
        private final SenderRoster roster = new SenderRoster();
        private final RateSlots slots;
        private final long clockOffsetMs;
        private Set<String> list = Set.of();
        private long nextConfirmationMs;
        private long viewMs = Long.MIN_VALUE;
        private double limitPerS;

        Instance(String name, double limitPerS, Random random, long nowMs) {
            this.slots = new RateSlots(name, roster, SenderRequirement.COUNTED);
            this.clockOffsetMs = 1_000_000L + random.nextInt(1_000_000);
            this.limitPerS = limitPerS;
            this.nextConfirmationMs = nowMs + random.nextInt(300);
        }

        void confirm(Set<String> next, long nowMs) {
            list = next;
            roster.confirm(list, nowMs + clockOffsetMs);
        }

        /** Sends if this instance may; returns whether it did. */
        boolean trySend(long nowMs) {
            SliceRate rate = SliceRate.ofLimit(limitPerS, BOUND, roster.size());
            return slots.tryTake("u", rate, false, nowMs + clockOffsetMs);
        }
    }

    private final List<Long> sentMs = new ArrayList<>();

    private static Set<String> names(int count) {
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            names.add("i" + i);
        }
        return names;
    }

    /** Returns the largest number of requests in a closed window from a time on. */
    private int largestWindow(long fromMs) {
        int largest = 0;
        int first = 0;
        for (int last = 0; last < sentMs.size(); last++) {
            while (sentMs.get(first) < fromMs || sentMs.get(last) - sentMs.get(first) > BOUND.windowMs()) {
                if (first == last) {
                    break;
                }
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    // Guards against exceeding the limit with two groups of instances that hold different lists of any age, with any
    // limit, and whatever lists the store confirms: the groups may be divided for the whole time.
    @Property(tries = 100, seed = SEED)
    void twoListsStayWithinTheLimit(@ForAll long seed, @ForAll @IntRange(min = 2, max = 100) int size) {
        sentMs.clear();
        Random random = new Random(seed);
        double limitPerS = Math.pow(10, random.nextDouble() * 4 - 1.5);
        List<Set<String>> lists = List.of(new TreeSet<>(), new TreeSet<>());
        List<Instance> running = new ArrayList<>();
        for (String name : names(size)) {
            Set<String> list = lists.get(random.nextInt(2));
            list.add(name);
            Instance instance = new Instance(name, limitPerS, random, 0);
            instance.list = list;
            running.add(instance);
        }
        // Instances of the other group may be listed, too, as after a partition.
        for (String name : names(size)) {
            lists.get(random.nextInt(2)).add(name);
        }
        for (long nowMs = 0; nowMs < LENGTH_MS / 3; nowMs += 1 + random.nextInt(MAX_STEP_MS)) {
            for (Instance each : running) {
                if (nowMs >= each.nextConfirmationMs) {
                    each.confirm(each.list, nowMs);
                    each.nextConfirmationMs = nowMs + random.nextInt(30_000);
                }
                if (each.trySend(nowMs)) {
                    sentMs.add(nowMs);
                }
            }
        }
        assertWithMessage("seed %s, %s instances, limit %s", seed, size, limitPerS)
                .that((long) largestWindow(0))
                .isAtMost(BOUND.maxRequests(limitPerS));
        assertWithMessage("seed %s, %s instances, limit %s", seed, size, limitPerS)
                .that(sentMs)
                .isNotEmpty();
    }

    // Guards against exceeding the limit while instances join, leave and restart, all at once or one after another, and
    // learn of that at different times; the store may be away for a while.
    @Property(tries = 100, seed = SEED)
    void fleetInChangeStaysWithinTheLimit(@ForAll long seed, @ForAll @IntRange(min = 2, max = 100) int size) {
        sentMs.clear();
        Random random = new Random(seed);
        double limitPerS = Math.pow(10, random.nextDouble() * 3 - 1);
        TreeMap<Long, Set<String>> history = new TreeMap<>(Map.of(LONG_AGO_MS, names(size)));
        Map<String, Instance> running = new TreeMap<>();
        names(size).forEach(name -> running.put(name, new Instance(name, limitPerS, random, 0)));
        int meanChangeMs = 500 << random.nextInt(6);
        long awayFromMs = random.nextInt((int) LENGTH_MS);
        long awayUntilMs = awayFromMs + random.nextInt(20_000);
        long allRestartMs = random.nextInt((int) LENGTH_MS);
        long nextChangeMs = 0;
        int started = size;
        for (long nowMs = 0; nowMs < LENGTH_MS; nowMs += 1 + random.nextInt(MAX_STEP_MS)) {
            if (nowMs >= allRestartMs) {
                allRestartMs = Long.MAX_VALUE;
                long restartMs = nowMs;
                running.replaceAll((name, old) -> new Instance(name, limitPerS, random, restartMs));
            }
            boolean away = nowMs >= awayFromMs && nowMs < awayUntilMs;
            if (nowMs >= nextChangeMs && !away) {
                nextChangeMs = nowMs + random.nextInt(2 * meanChangeMs);
                Set<String> listed = new TreeSet<>(history.lastEntry().getValue());
                List<String> names = new ArrayList<>(running.keySet());
                String leaving = names.get(random.nextInt(names.size()));
                listed.remove(leaving);
                running.remove(leaving);
                String joining = random.nextBoolean() ? leaving : "i" + started++;
                running.put(joining, new Instance(joining, limitPerS, random, nowMs));
                listed.add(joining);
                history.put(nowMs, listed);
            }
            for (Instance each : running.values()) {
                confirmLate(each, history, away, random, nowMs);
                if (each.trySend(nowMs)) {
                    sentMs.add(nowMs);
                }
            }
        }
        assertWithMessage("seed %s, %s instances, limit %s", seed, size, limitPerS)
                .that((long) largestWindow(0))
                .isAtMost(BOUND.maxRequests(limitPerS));
    }

    private static void confirmLate(
            Instance each, TreeMap<Long, Set<String>> history, boolean away, Random random, long nowMs) {
        if (away || nowMs < each.nextConfirmationMs) {
            return;
        }
        each.viewMs = Math.max(each.viewMs, nowMs - random.nextInt(2_500));
        each.confirm(history.floorEntry(each.viewMs).getValue(), nowMs);
        each.nextConfirmationMs = nowMs + random.nextInt(1_500);
    }

    // Guards against a limit that falls or rises and takes effect only after the interval of the limit before: a fallen
    // one would be exceeded, and a risen one would not be used for 10 s.
    @Property(tries = 60, seed = SEED)
    void changedLimitTakesEffect(@ForAll long seed, @ForAll @IntRange(min = 1, max = 100) int size) {
        sentMs.clear();
        Random random = new Random(seed);
        double firstPerS = Math.pow(10, random.nextDouble() * 3 - 2);
        double secondPerS = Math.pow(10, random.nextDouble() * 3 - 1);
        List<Instance> running = new ArrayList<>();
        for (String name : names(size)) {
            running.add(new Instance(name, firstPerS, random, 0));
        }
        long changeMs = LENGTH_MS / 3;
        for (long nowMs = 0; nowMs < LENGTH_MS; nowMs += 1 + random.nextInt(MAX_STEP_MS)) {
            for (Instance each : running) {
                if (nowMs >= each.nextConfirmationMs) {
                    each.confirm(names(size), nowMs);
                    each.nextConfirmationMs = nowMs + 1_000;
                }
                // Instances learn of the change within half a second.
                if (nowMs >= changeMs + 500 || nowMs >= changeMs && random.nextInt(20) == 0) {
                    each.limitPerS = secondPerS;
                }
                if (each.trySend(nowMs)) {
                    sentMs.add(nowMs);
                }
            }
        }
        long settledMs = changeMs + 500;
        assertWithMessage("seed %s, %s instances, %s to %s", seed, size, firstPerS, secondPerS)
                .that((long) largestWindow(settledMs))
                .isAtMost(BOUND.maxRequests(secondPerS));
        long used = sentMs.stream()
                .filter(each -> each >= settledMs && each < settledMs + 20_000)
                .count();
        assertWithMessage("seed %s, %s instances, %s to %s", seed, size, firstPerS, secondPerS)
                .that((double) used)
                .isAtLeast(Math.floor(Math.min(20 * secondPerS, 10 * secondPerS + 1)));
    }
}
