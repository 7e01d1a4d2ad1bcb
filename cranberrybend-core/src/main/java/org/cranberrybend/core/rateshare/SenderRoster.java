package org.cranberrybend.core.rateshare;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * The registered instances as known to one of them, with those that have left recently. Names the senders of each
 * upstream by rendezvous hashing. All times are monotonic, in milliseconds. Not safe for use by several threads.
 *
 * <p>Instances learn of changes at different times, so their lists differ. An instance is settled only after it has been
 * listed for {@link #SETTLE_MS}, and counts instances that have left for as long. If lists are late by no more than {@link
 * #MAX_LAG_MS}, it then counts every other instance that may send in the same window, so that the number of senders is
 * never exceeded, however many different lists are in use. An instance that need not be settled ({@link
 * SenderRequirement#COUNTED}) may exceed it where lists differ, by at most the senders of a second list.
 */
public final class SenderRoster {
    /** Age of the list from which it names no senders. A watch without changes is confirmed every 4 s. */
    public static final long MAX_AGE_MS = 6_000;

    /** Largest time by which a list may be late: its age, and the age of the zone leader's list that it was read from. */
    public static final long MAX_LAG_MS = 2 * MAX_AGE_MS;

    /**
     * Time for which an instance is listed before it may send. Two lists that follow each other differ in age by up to
     * the lag; an instance that was listed for this time up to a lag ago is therefore in one of the lists of any other.
     */
    public static final long SETTLE_MS = 2 * MAX_LAG_MS;

    /** Distinguishes this use of the hash from others, so that zone leaders are not favoured. */
    private static final String HASH_KEY = "slow start ";

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Long> listedSinceMs = new HashMap<>();
    /** Instances that have left, with the time until which they count as possible senders. */
    private final Map<String, Long> countedUntilMs = new HashMap<>();

    /** Time since which an instance is listed or counted without a gap. */
    private final Map<String, Long> countedSinceMs = new HashMap<>();

    private long confirmedMs = NEVER;
    private long steadySinceMs = NEVER;
    private long version;

    /** Records the registered instances, which the store has just confirmed. */
    public void confirm(Set<String> listed, long nowMs) {
        if (nowMs - confirmedMs > MAX_AGE_MS) {
            steadySinceMs = nowMs;
        }
        confirmedMs = nowMs;
        boolean changed = countedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        for (Iterator<String> names = listedSinceMs.keySet().iterator(); names.hasNext(); ) {
            String name = names.next();
            if (!listed.contains(name)) {
                names.remove();
                countedUntilMs.put(name, nowMs + SETTLE_MS);
                changed = true;
            }
        }
        for (String name : listed) {
            if (listedSinceMs.putIfAbsent(name, nowMs) == null) {
                countedUntilMs.remove(name);
                changed = true;
            }
        }
        listed.forEach(name -> countedSinceMs.putIfAbsent(name, nowMs));
        countedSinceMs.keySet().removeIf(name -> !listedSinceMs.containsKey(name) && !countedUntilMs.containsKey(name));
        if (changed) {
            version++;
        }
    }

    /** Returns a number that grows whenever ranks may have changed. */
    long version() {
        return version;
    }

    /** Returns whether an instance may be a sender at all: it is listed, and its list is recent and steady. */
    boolean isSettled(String instance, long nowMs) {
        return isRecent(nowMs)
                && nowMs - steadySinceMs >= SETTLE_MS
                && nowMs - listedSinceMs.getOrDefault(instance, nowMs) >= SETTLE_MS;
    }

    /** Returns whether an instance has been counted for a time, by the last list that the store has confirmed. */
    boolean isCountedFor(String instance, long durationMs, long nowMs) {
        Long sinceMs = countedSinceMs.get(instance);
        return sinceMs != null && nowMs - sinceMs >= durationMs;
    }

    /** Returns the number of instances that are listed or have left recently; 0 without a list. */
    public int size() {
        return countedSinceMs.size();
    }

    /** Returns whether the store has confirmed the list recently. */
    boolean isRecent(long nowMs) {
        return nowMs - confirmedMs <= MAX_AGE_MS;
    }

    /** Returns the number of instances before the given one in the order of an upstream, recently left ones included. */
    int rank(String instance, String upstreamId) {
        return countBefore(instance, upstreamId, listedSinceMs.keySet())
                + countBefore(instance, upstreamId, countedUntilMs.keySet());
    }

    /**
     * Returns the position of an instance in the order of an upstream as a fraction of all listed instances; 1 if the
     * instance is not listed.
     */
    double position(String instance, String upstreamId) {
        return listedSinceMs.containsKey(instance)
                ? countBefore(instance, upstreamId, listedSinceMs.keySet()) / (double) listedSinceMs.size()
                : 1;
    }

    private static int countBefore(String instance, String upstreamId, Collection<String> names) {
        String key = HASH_KEY + upstreamId;
        long own = RendezvousHash.hash(key, instance);
        int before = 0;
        for (String name : names) {
            long other = RendezvousHash.hash(key, name);
            if (other > own || other == own && name.compareTo(instance) > 0) {
                before++;
            }
        }
        return before;
    }
}
