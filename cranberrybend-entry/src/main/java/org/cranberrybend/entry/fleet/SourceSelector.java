package org.cranberrybend.entry.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.ChangeSources;

/**
 * Chooses where this instance reads what the store holds: from another instance or from the store itself. A source that has
 * failed is left out for some time. Confined to the event loop.
 *
 * <p>If the store turned away an instance and each of its followers, and all of these then read from the store as soon as it
 * returned, their reads would fill a narrow link to it. So an instance without the store follows another one that has it,
 * of its availability zone if possible, and of another one if not.
 */
final class SourceSelector {
    /** Time for which an instance is left out that does not have what was asked for. */
    private static final long REFUSAL_PAUSE_MS = 1_000;
    /** The same for an instance that has not responded, while the store responds. */
    private static final long UNRESPONSIVE_PAUSE_MS = 5_000;
    /**
     * Time for which the store is left out after it has failed, while other instances are there to ask; a little longer
     * than the time between two renewals of a lease, which end it if they succeed.
     */
    private static final long STORE_PAUSE_MS = 2_500;

    /** Time by which each instance of a zone reads from the store later than the one before it, and its limit. */
    private static final long RANK_DELAY_MS = 100;

    private static final long MAX_RANK_DELAY_MS = 800;

    private final Supplier<ChangeSources> sources;
    private final TimeSource timeSource;
    private final Map<Source, Pause> pauses = new HashMap<>();

    /** Time until which a source is left out, and whether it did not respond at all. */
    private record Pause(long untilMs, boolean unresponsive) {
        Pause atMost(long limitMs) {
            return new Pause(Math.min(untilMs, limitMs), unresponsive);
        }
    }

    /**
     * A place to read from.
     *
     * @param instance control address of the other instance; empty for the store
     */
    record Source(Optional<InetSocketAddress> instance) {
        static final Source STORE = new Source(Optional.empty());

        static Source of(InetSocketAddress instance) {
            return new Source(Optional.of(instance));
        }

        boolean isStore() {
            return instance.isEmpty();
        }
    }

    SourceSelector(Supplier<ChangeSources> sources, TimeSource timeSource) {
        this.sources = sources;
        this.timeSource = timeSource;
    }

    /** Returns the best source that a read has not tried yet; empty if there is none. */
    Optional<Source> next(Set<Source> tried) {
        long nowMs = timeSource.monotonicMs();
        pauses.values().removeIf(pause -> pause.untilMs <= nowMs);
        ChangeSources known = sources.get();
        Stream<Source> instancesFirst = known.preferred().stream().map(Source::of);
        Stream<Source> instancesLast = known.alternatives().stream().map(Source::of);
        return Stream.of(instancesFirst, Stream.of(Source.STORE), instancesLast)
                .flatMap(each -> each)
                .filter(each -> !pauses.containsKey(each) && !tried.contains(each))
                .findFirst()
                .or(() -> isLeaderAlive(known, tried) ? Optional.empty() : storeUnless(tried));
    }

    /** Returns the store unless a read has tried it. */
    static Optional<Source> storeUnless(Set<Source> tried) {
        return Optional.of(Source.STORE).filter(each -> !tried.contains(each));
    }

    /** Returns the store if a read that has asked enough instances may turn to it now. */
    Optional<Source> storeIfDue(Set<Source> tried) {
        return pauses.containsKey(Source.STORE) && isLeaderAlive(sources.get(), tried)
                ? Optional.empty()
                : storeUnless(tried);
    }

    /**
     * Returns whether the leader has refused the read, and so is about to find out that the store is back. The followers
     * then ask the store less often than the leader does.
     */
    private boolean isLeaderAlive(ChangeSources known, Set<Source> tried) {
        Optional<Source> leader = known.preferred().stream().findFirst().map(Source::of);
        return leader.isPresent() && tried.contains(leader.get()) && !pauses.containsKey(leader.get());
    }

    private boolean isLeader(InetSocketAddress instance) {
        return sources.get().preferred().stream().findFirst().equals(Optional.of(instance));
    }

    /**
     * Leaves out an instance that does not have what was asked for; returns for how long, in milliseconds. The leader is
     * asked before each read of the store, since it may have what is read by then.
     */
    long pauseRefusing(InetSocketAddress instance) {
        return isLeader(instance) ? 0 : pause(instance, REFUSAL_PAUSE_MS, false);
    }

    /** Leaves out an instance that has not responded in time; returns for how long, in milliseconds. */
    long pauseUnresponsive(InetSocketAddress instance, boolean isStoreResponsive) {
        return pause(instance, isStoreResponsive ? UNRESPONSIVE_PAUSE_MS : REFUSAL_PAUSE_MS, true);
    }

    private long pause(InetSocketAddress instance, long pauseMs, boolean unresponsive) {
        pauses.put(Source.of(instance), new Pause(timeSource.monotonicMs() + pauseMs, unresponsive));
        return pauseMs;
    }

    /**
     * Returns the time for which this instance waits before it reads from the store because those before it do not have
     * what is read, in milliseconds. If one of these can read from the store, it has begun to by then.
     */
    long storeDelayMs() {
        return Math.min(
                MAX_RANK_DELAY_MS, RANK_DELAY_MS * sources.get().preferred().size());
    }

    /** Lets the instances be asked again that have refused a read. */
    void resumeRefusing() {
        pauses.entrySet().removeIf(entry -> !entry.getKey().isStore() && !entry.getValue().unresponsive);
    }

    /** Leaves out the store for some time; the other instances are then asked again soon. */
    void pauseStore() {
        long nowMs = timeSource.monotonicMs();
        pauses.replaceAll((source, pause) -> pause.atMost(nowMs + REFUSAL_PAUSE_MS));
        pauses.put(Source.STORE, new Pause(nowMs + STORE_PAUSE_MS, false));
    }

    /** Lets the store be asked again, because it has responded. */
    void resumeStore() {
        pauses.remove(Source.STORE);
    }
}
