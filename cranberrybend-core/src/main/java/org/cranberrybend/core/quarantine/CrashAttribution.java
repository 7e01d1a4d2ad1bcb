package org.cranberrybend.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds the prompt parts that explain crashes.
 *
 * <p>A crash ends all requests of an engine, so most parts in progress there are innocent. The harmful part is in
 * progress at each of its crashes, and no request with it is answered normally, while an innocent part is soon answered
 * elsewhere and then cleared. So the part with the most crashes is taken as their cause. It explains them for the other
 * parts, too, and the search goes on with the crashes that remain.
 *
 * <p>Hard cases: parts that were in progress at exactly the same crashes cannot be distinguished and are refused only
 * together, so that a request with one of them alone can clear it. Upstreams that end at the same moment, as when a
 * rack fails, count as a single crash.
 */
final class CrashAttribution {
    /** Crashes without a normal answer in between after which a part is quarantined. */
    static final int MIN_CRASHES = 3;

    /** Time within which crashes of several upstreams count as one. */
    static final long SIMULTANEOUS_MS = 100;

    static final long FIRST_BLOCK_MS = 30_000;
    static final long MAX_BLOCK_MS = 600_000;

    /** Crashes at the same moment. */
    private static final class CrashGroup {
        private final long firstCrashMs;
        private final Set<UpstreamIncarnation> upstreams = new HashSet<>();
        private final Map<PartFingerprint, Standing> implicated = new HashMap<>();

        CrashGroup(long firstCrashMs) {
            this.firstCrashMs = firstCrashMs;
        }

        void add(CrashRecord crash) {
            upstreams.add(crash.upstream());
            crash.standings().forEach((part, standing) -> {
                if (standing.isImplicated()) {
                    implicated.merge(part, standing, Standing::merge);
                }
            });
        }

        boolean implicates(PartFingerprint part) {
            return implicated.containsKey(part);
        }

        boolean neverAnswered(PartFingerprint part) {
            return implicated.get(part) == Standing.NEVER_ANSWERED;
        }
    }

    private CrashAttribution() {}

    /** Returns the quarantines that the crashes justify. */
    static List<Quarantine> quarantines(Collection<CrashRecord> crashes) {
        List<CrashGroup> unexplained = groups(crashes);
        List<Quarantine> quarantines = new ArrayList<>();
        Optional<PartFingerprint> cause = mostImplicated(unexplained);
        while (cause.isPresent()) {
            PartFingerprint part = cause.get();
            List<CrashGroup> explained =
                    unexplained.stream().filter(each -> each.implicates(part)).collect(Collectors.toList());
            quarantines.add(quarantine(explained));
            unexplained.removeAll(explained);
            cause = mostImplicated(unexplained);
        }
        return quarantines;
    }

    private static List<CrashGroup> groups(Collection<CrashRecord> crashes) {
        List<CrashRecord> byTime = new ArrayList<>(crashes);
        byTime.sort(Comparator.comparingLong(CrashRecord::crashedAtMs));
        List<CrashGroup> groups = new ArrayList<>();
        for (CrashRecord crash : byTime) {
            CrashGroup last = groups.isEmpty() ? null : groups.get(groups.size() - 1);
            if (last == null || crash.crashedAtMs() - last.firstCrashMs > SIMULTANEOUS_MS) {
                last = new CrashGroup(crash.crashedAtMs());
                groups.add(last);
            }
            last.add(crash);
        }
        return groups;
    }

    /** Returns the part with the most crashes, if they are enough for a quarantine. */
    private static Optional<PartFingerprint> mostImplicated(List<CrashGroup> groups) {
        Map<PartFingerprint, Integer> crashes = new HashMap<>();
        Map<PartFingerprint, Integer> crashesWithoutAnswer = new HashMap<>();
        for (CrashGroup group : groups) {
            for (PartFingerprint part : group.implicated.keySet()) {
                crashes.merge(part, 1, Integer::sum);
                crashesWithoutAnswer.merge(part, group.neverAnswered(part) ? 1 : 0, Integer::sum);
            }
        }
        return crashes.keySet().stream()
                .filter(part -> crashes.get(part) >= MIN_CRASHES)
                .max(Comparator.<PartFingerprint>comparingInt(crashes::get)
                        .thenComparing(crashesWithoutAnswer::get)
                        .thenComparing(Comparator.naturalOrder()));
    }

    private static Quarantine quarantine(List<CrashGroup> explained) {
        Set<PartFingerprint> common = new HashSet<>(explained.get(0).implicated.keySet());
        explained.forEach(group -> common.retainAll(group.implicated.keySet()));
        Set<PartFingerprint> neverAnswered = common.stream()
                .filter(part -> explained.stream().allMatch(group -> group.neverAnswered(part)))
                .collect(Collectors.toSet());
        Set<UpstreamIncarnation> evidence =
                explained.stream().flatMap(group -> group.upstreams.stream()).collect(Collectors.toSet());
        return new Quarantine(
                neverAnswered.isEmpty() ? common : neverAnswered,
                explained.size(),
                blockedUntilMs(explained),
                evidence);
    }

    /**
     * Returns the end of the block that begins with the crash that completed the evidence. A crash after the end of a
     * block is that of a probe and starts a block of twice the length.
     */
    private static long blockedUntilMs(List<CrashGroup> explained) {
        long blockMs = FIRST_BLOCK_MS;
        long untilMs = explained.get(MIN_CRASHES - 1).firstCrashMs + blockMs;
        for (CrashGroup group : explained.subList(MIN_CRASHES, explained.size())) {
            if (group.firstCrashMs >= untilMs) {
                blockMs = Math.min(MAX_BLOCK_MS, 2 * blockMs);
                untilMs = group.firstCrashMs + blockMs;
            }
        }
        return untilMs;
    }
}
