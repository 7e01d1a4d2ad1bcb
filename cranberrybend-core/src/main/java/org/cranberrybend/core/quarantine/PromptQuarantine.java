package org.cranberrybend.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Knows the recent crashes of upstreams and the normal answers to prompts, and decides which requests are refused. Each
 * instance decides alone, from what it has seen and what others report. Not thread-safe; times are monotonic.
 *
 * <p>Memory is bounded: the records of crashes, the parts of each record and the remembered answers are limited in
 * number, and records expire.
 */
public final class PromptQuarantine {
    /** Largest number of crash records that are kept. */
    public static final int MAX_RECORDS = 64;

    /** Number of prompt parts whose last normal answer is remembered. */
    private static final int MAX_ANSWERED_PARTS = 4_096;

    /** Time for which a crash is kept that explains no quarantine. */
    private static final long UNEXPLAINED_RETENTION_MS = 120_000;

    /** Time for which a crash is kept that explains a quarantine; longer than the longest block. */
    private static final long RETENTION_MS = 3_600_000;

    /** Retry time of a request that another one probes for. */
    private static final long PROBE_RETRY_MS = 1_000;

    private final Map<UpstreamIncarnation, CrashRecord> records = new HashMap<>();
    /** Time at which a part was last added to a record. */
    private final Map<UpstreamIncarnation, Long> extendedAtMs = new HashMap<>();

    private final Map<PartFingerprint, Long> lastAnswerMs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartFingerprint, Long> eldest) {
            return size() > MAX_ANSWERED_PARTS;
        }
    };
    private final Set<PartFingerprint> implicated = new HashSet<>();
    private List<Quarantine> quarantines = List.of();
    private long digest;

    /**
     * Records that this instance lost requests with a crash.
     *
     * @param parts prompt parts of the lost requests
     * @param crashedAtMs time at which the first request was lost, before the crash was certain
     * @return whether anything new became known
     */
    public boolean recordCrash(
            UpstreamIncarnation upstream, Collection<PartFingerprint> parts, long crashedAtMs, long nowMs) {
        List<PartFingerprint> unansweredFirst = new ArrayList<>(parts);
        unansweredFirst.sort(
                (left, right) -> Boolean.compare(lastAnswerMs.containsKey(left), lastAnswerMs.containsKey(right)));
        Map<PartFingerprint, Standing> standings = new HashMap<>();
        unansweredFirst.stream()
                .limit(CrashRecord.MAX_PARTS)
                .forEach(part -> standings.put(part, standingAt(crashedAtMs, part)));
        return merge(List.of(new CrashRecord(upstream, crashedAtMs, standings)), nowMs);
    }

    private Standing standingAt(long crashedAtMs, PartFingerprint part) {
        Long answerMs = lastAnswerMs.get(part);
        if (answerMs == null) {
            return Standing.NEVER_ANSWERED;
        }
        return answerMs > crashedAtMs ? Standing.CLEARED : Standing.ANSWERED_BEFORE;
    }

    /**
     * Records a normal answer: it clears all parts of the prompt of the crashes before it.
     *
     * @return whether anything new became known
     */
    public boolean recordAnswer(Collection<PartFingerprint> parts, long nowMs) {
        boolean changed = false;
        for (PartFingerprint part : parts) {
            lastAnswerMs.put(part, nowMs);
            if (implicated.contains(part)) {
                changed = true;
                records.replaceAll((upstream, record) -> record.implicates(part) ? record.withCleared(part) : record);
            }
        }
        if (changed) {
            evaluate();
        }
        return changed;
    }

    /**
     * Adds records of other instances.
     *
     * @return whether anything new became known
     */
    public boolean merge(Collection<CrashRecord> received, long nowMs) {
        boolean changed = false;
        for (CrashRecord each : received) {
            if (nowMs - each.crashedAtMs() < RETENTION_MS) {
                changed |= mergeRecord(each, nowMs);
            }
        }
        if (changed) {
            evaluate();
            expire(nowMs);
        }
        return changed;
    }

    private boolean mergeRecord(CrashRecord received, long nowMs) {
        CrashRecord known = records.get(received.upstream());
        CrashRecord merged = known == null ? received : known.merge(received);
        for (PartFingerprint part : merged.standings().keySet()) {
            if (merged.implicates(part) && lastAnswerMs.getOrDefault(part, Long.MIN_VALUE) > merged.crashedAtMs()) {
                merged = merged.withCleared(part);
            }
        }
        if (merged.equals(known)) {
            return false;
        }
        records.put(merged.upstream(), merged);
        if (known == null
                || !known.standings().keySet().containsAll(merged.standings().keySet())) {
            extendedAtMs.put(merged.upstream(), nowMs);
        }
        return known == null || !merged.standings().equals(known.standings());
    }

    /** Removes records that have expired, and the oldest ones beyond the limit. */
    public void expire(long nowMs) {
        Set<UpstreamIncarnation> evidence = evidence();
        boolean changed = records.values().removeIf(record -> {
            long retentionMs = evidence.contains(record.upstream()) ? RETENTION_MS : UNEXPLAINED_RETENTION_MS;
            return nowMs - record.crashedAtMs() >= retentionMs;
        });
        while (records.size() > MAX_RECORDS) {
            records.remove(leastUseful(evidence));
            changed = true;
        }
        if (changed) {
            evaluate();
        }
    }

    private Set<UpstreamIncarnation> evidence() {
        return quarantines.stream().flatMap(each -> each.evidence().stream()).collect(Collectors.toSet());
    }

    /** Returns the oldest record that explains no quarantine, or if there is none, the oldest one. */
    private UpstreamIncarnation leastUseful(Set<UpstreamIncarnation> evidence) {
        CrashRecord least = null;
        for (CrashRecord each : records.values()) {
            if (least == null || isLessUseful(each, least, evidence)) {
                least = each;
            }
        }
        return least.upstream();
    }

    private static boolean isLessUseful(CrashRecord left, CrashRecord right, Set<UpstreamIncarnation> evidence) {
        boolean leftExplains = evidence.contains(left.upstream());
        boolean rightExplains = evidence.contains(right.upstream());
        return leftExplains == rightExplains ? left.crashedAtMs() < right.crashedAtMs() : rightExplains;
    }

    private void evaluate() {
        extendedAtMs.keySet().retainAll(records.keySet());
        quarantines = CrashAttribution.quarantines(records.values());
        implicated.clear();
        digest = 0;
        for (CrashRecord record : records.values()) {
            digest += record.digest();
            record.standings().forEach((part, standing) -> {
                if (standing.isImplicated()) {
                    implicated.add(part);
                }
            });
        }
    }

    /** Decides about a request with the given prompt parts. */
    public Verdict verdict(Collection<PartFingerprint> parts, long nowMs) {
        if (quarantines.isEmpty() || parts.isEmpty()) {
            return Verdict.ADMITTED;
        }
        List<Quarantine> covering =
                quarantines.stream().filter(each -> each.covers(parts)).collect(Collectors.toList());
        if (covering.isEmpty()) {
            return Verdict.ADMITTED;
        }
        Quarantine longest = covering.stream()
                .max((left, right) -> Long.compare(left.blockedUntilMs(), right.blockedUntilMs()))
                .get();
        if (nowMs < longest.blockedUntilMs()) {
            return new Verdict(Verdict.Kind.REFUSE, Optional.of(longest), longest.blockedUntilMs() - nowMs);
        }
        // A crash of a probe with several quarantined parts would not show which of them caused it.
        Verdict.Kind kind = covering.size() == 1 ? Verdict.Kind.PROBE : Verdict.Kind.REFUSE;
        return new Verdict(kind, Optional.of(longest), PROBE_RETRY_MS);
    }

    /** Returns the quarantines in force. */
    public List<Quarantine> quarantines() {
        return quarantines;
    }

    /** Returns the records to send to other instances, the latest first. */
    public List<CrashRecord> records() {
        List<CrashRecord> latestFirst = new ArrayList<>(records.values());
        latestFirst.sort((left, right) -> Long.compare(right.crashedAtMs(), left.crashedAtMs()));
        return latestFirst;
    }

    /** Returns the records to which a crash or a part was added at or after a time, the latest crash first. */
    public List<CrashRecord> recordsExtendedSince(long sinceMs) {
        return records().stream()
                .filter(each -> extendedAtMs.getOrDefault(each.upstream(), Long.MIN_VALUE) >= sinceMs)
                .collect(Collectors.toList());
    }

    /** Returns a number that is equal for instances with the same knowledge; 0 without records. */
    public long digest() {
        return digest;
    }
}
