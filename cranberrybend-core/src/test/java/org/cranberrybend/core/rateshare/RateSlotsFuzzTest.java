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
 * A fleet that has requests for one cold upstream at all times, and an oracle that counts what all instances send. Time
 * is in microseconds; each instance has a clock of its own with whole milliseconds.
 */
class RateSlotsFuzzTest {
    private static final String SEED = "20261206";
    private static final double RATE_PER_S = 9.5;
    private static final double OVERSHOOT = 1.5;
    private static final double SLACK = 5;
    private static final SliceRate RATE =
            SliceRate.within(RATE_PER_S, OVERSHOOT, SLACK).get();
    private static final long WINDOW_US = 1_000_000;
    private static final long LENGTH_US = 120_000_000;
    private static final long LONG_AGO_US = -100_000_000;
    private static final long MAX_STEP_US = 40_000;

    /** One process; its view of the registrations is renewed at times of its own. */
    private static final class Instance {
        private final long clockOffsetUs;
        private final SenderRoster roster = new SenderRoster();
        private final RateSlots slots;
        private long nextConfirmationUs;
        private long viewUs = Long.MIN_VALUE;
        private boolean reserved;

        Instance(String name, Random random, long nowUs) {
            slots = new RateSlots(name, roster, SenderRequirement.SETTLED);
            clockOffsetUs = 1_000_000_000L + random.nextInt(1_000_000_000);
            nextConfirmationUs = nowUs + random.nextInt(300_000);
        }

        long nowMs(long nowUs) {
            return Math.floorDiv(nowUs + clockOffsetUs, 1_000L);
        }
    }

    private final List<Long> sentUs = new ArrayList<>();

    /** Lets an instance reserve, send or give back at random. */
    private void act(Instance instance, Random random, long nowUs) {
        long nowMs = instance.nowMs(nowUs);
        if (!instance.reserved && random.nextBoolean()) {
            instance.reserved = instance.slots.tryReserve("u", RATE, nowMs);
            return;
        }
        if (instance.reserved && random.nextInt(8) == 0) {
            instance.slots.release("u");
        } else if (instance.slots.tryTake("u", RATE, instance.reserved, nowMs)) {
            sentUs.add(nowUs);
        }
        instance.reserved = false;
    }

    /** Returns the largest number of requests in a closed window. */
    private int largestWindow() {
        int largest = 0;
        int first = 0;
        for (int last = 0; last < sentUs.size(); last++) {
            while (sentUs.get(last) - sentUs.get(first) > WINDOW_US) {
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    private static Set<String> names(int count) {
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            names.add("i" + i);
        }
        return names;
    }

    // Guards against more than the requests of one list where instances know registrations of different ages: they
    // join, leave and restart at random, watches fail, and lists are late by up to the stated lag.
    @Property(tries = 60, seed = SEED)
    void manyListsOfDifferentAgesSendNoMoreThanOne(@ForAll long seed, @ForAll @IntRange(min = 2, max = 80) int size) {
        sentUs.clear();
        Random random = new Random(seed);
        TreeMap<Long, Set<String>> history = new TreeMap<>(Map.of(LONG_AGO_US, names(size)));
        Map<String, Instance> running = new TreeMap<>();
        names(size).forEach(name -> running.put(name, new Instance(name, random, 0)));
        int meanChangeMs = 200 << random.nextInt(8);
        int started = size;
        long nextChangeUs = 0;
        for (long nowUs = 0; nowUs < LENGTH_US; nowUs += 1 + random.nextInt((int) MAX_STEP_US)) {
            if (nowUs >= nextChangeUs) {
                nextChangeUs = nowUs + random.nextInt(2 * meanChangeMs) * 1_000L;
                Set<String> listed = new TreeSet<>(history.lastEntry().getValue());
                List<String> names = new ArrayList<>(running.keySet());
                String name = names.get(random.nextInt(names.size()));
                if (listed.contains(name) && random.nextInt(3) > 0) {
                    // Killed, and replaced or restarted; its registration may be that of the process before.
                    listed.remove(name);
                    String next = random.nextBoolean() ? name : "i" + started++;
                    running.remove(name);
                    running.put(next, new Instance(next, random, nowUs));
                } else {
                    listed.add(name);
                }
                history.put(nowUs, listed);
            }
            for (Instance each : running.values()) {
                confirm(each, history, random, nowUs);
                act(each, random, nowUs);
            }
        }
        assertWithMessage("seed %s, %s instances", seed, size)
                .that(largestWindow())
                .isAtMost(RATE.maxPerList());
    }

    private static void confirm(Instance each, TreeMap<Long, Set<String>> history, Random random, long nowUs) {
        if (nowUs < each.nextConfirmationUs) {
            return;
        }
        long lagUs = random.nextInt((int) (SenderRoster.MAX_LAG_MS - SenderRoster.MAX_AGE_MS)) * 1_000L;
        each.viewUs = Math.max(each.viewUs, nowUs - lagUs);
        each.roster.confirm(history.floorEntry(each.viewUs).getValue(), each.nowMs(nowUs));
        int maxGapMs = random.nextInt(20) == 0 ? 12_000 : (int) SenderRoster.MAX_AGE_MS;
        each.nextConfirmationUs = nowUs + random.nextInt(maxGapMs) * 1_000L;
    }

    // Guards against exceeding the bound with two groups of instances that hold different lists, of any age; the first
    // instance is in both, so that there is a sender.
    @Property(tries = 60, seed = SEED)
    void twoGroupsStayWithinTheBound(@ForAll long seed, @ForAll @IntRange(min = 2, max = 80) int size) {
        sentUs.clear();
        Random random = new Random(seed);
        List<Set<String>> lists = List.of(new TreeSet<>(Set.of("i0")), new TreeSet<>(Set.of("i0")));
        Map<String, Instance> running = new TreeMap<>();
        Map<String, Set<String>> listOf = new TreeMap<>();
        for (String name : names(size)) {
            Set<String> list = lists.get(random.nextInt(2));
            list.add(name);
            listOf.put(name, list);
            running.put(name, new Instance(name, random, 0));
        }
        for (long nowUs = 0; nowUs < LENGTH_US / 2; nowUs += 1 + random.nextInt((int) MAX_STEP_US)) {
            for (Map.Entry<String, Instance> entry : running.entrySet()) {
                Instance each = entry.getValue();
                if (nowUs >= each.nextConfirmationUs) {
                    each.roster.confirm(listOf.get(entry.getKey()), each.nowMs(nowUs));
                    each.nextConfirmationUs = nowUs + random.nextInt(4_000_000);
                }
                act(each, random, nowUs);
            }
        }
        assertWithMessage("seed %s, %s instances", seed, size)
                .that(largestWindow())
                .isAtMost(2 * RATE.maxPerList());
        assertWithMessage("seed %s, %s instances", seed, size)
                .that((double) largestWindow())
                .isAtMost(RATE_PER_S * OVERSHOOT + SLACK);
        assertWithMessage("seed %s, %s instances", seed, size).that(sentUs).isNotEmpty();
    }
}
