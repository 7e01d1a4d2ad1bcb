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
    /** Time for which the store is left out after it has failed, while other instances are there to ask. */
    private static final long STORE_PAUSE_MS = 2_000;

    private final Supplier<ChangeSources> sources;
    private final TimeSource timeSource;
    private final Map<Source, Long> pausedUntilMs = new HashMap<>();

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
        pausedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        ChangeSources known = sources.get();
        Stream<Source> instancesFirst = known.preferred().stream().map(Source::of);
        Stream<Source> instancesLast = known.alternatives().stream().map(Source::of);
        return Stream.of(instancesFirst, Stream.of(Source.STORE), instancesLast)
                .flatMap(each -> each)
                .filter(each -> !pausedUntilMs.containsKey(each) && !tried.contains(each))
                .findFirst()
                .or(() -> isLeaderAlive(known, tried) ? Optional.empty() : storeUnless(tried));
    }

    /** Returns the store unless a read has tried it. */
    static Optional<Source> storeUnless(Set<Source> tried) {
        return Optional.of(Source.STORE).filter(each -> !tried.contains(each));
    }

    /**
     * Returns whether the leader has refused the read, and so is about to find out that the store is back. The followers
     * then ask the store less often than the leader does.
     */
    private boolean isLeaderAlive(ChangeSources known, Set<Source> tried) {
        Optional<Source> leader = known.preferred().stream().findFirst().map(Source::of);
        return leader.isPresent() && tried.contains(leader.get()) && !pausedUntilMs.containsKey(leader.get());
    }

    private boolean isLeader(InetSocketAddress instance) {
        return sources.get().preferred().stream().findFirst().equals(Optional.of(instance));
    }

    /**
     * Leaves out an instance that does not have what was asked for; returns for how long, in milliseconds. The leader is
     * asked before each read of the store, since it may have what is read by then.
     */
    long pauseRefusing(InetSocketAddress instance) {
        return isLeader(instance) ? 0 : pause(instance, REFUSAL_PAUSE_MS);
    }

    /** Leaves out an instance that has not responded in time; returns for how long, in milliseconds. */
    long pauseUnresponsive(InetSocketAddress instance, boolean isStoreResponsive) {
        return pause(instance, isStoreResponsive ? UNRESPONSIVE_PAUSE_MS : REFUSAL_PAUSE_MS);
    }

    private long pause(InetSocketAddress instance, long pauseMs) {
        pausedUntilMs.put(Source.of(instance), timeSource.monotonicMs() + pauseMs);
        return pauseMs;
    }

    /** Leaves out the store for some time; the other instances are then asked again soon. */
    void pauseStore() {
        long nowMs = timeSource.monotonicMs();
        pausedUntilMs.replaceAll((source, untilMs) -> Math.min(untilMs, nowMs + REFUSAL_PAUSE_MS));
        pausedUntilMs.put(Source.STORE, nowMs + STORE_PAUSE_MS);
    }
}
