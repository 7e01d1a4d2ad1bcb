package org.cranberrybend.entry.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.quarantine.CrashRecord;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.PromptQuarantine;
import org.cranberrybend.core.quarantine.Quarantine;
import org.cranberrybend.core.quarantine.UpstreamIncarnation;
import org.cranberrybend.core.quarantine.Verdict;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ListenState;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Refuses requests with prompt parts that crash upstreams: feeds what this instance sees and what others report to the
 * {@link PromptQuarantine}, and logs its decisions. Confined to the event loop.
 */
public final class QuarantineService {
    /** Prompt parts that a log line lists. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private final CrashDetector detector;
    private final ProbeClaims claims;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private Set<Set<PartFingerprint>> quarantinedParts = Set.of();
    private long quarantinesChangedMs = Long.MIN_VALUE / 2;

    /** Creates the service without knowledge. */
    public QuarantineService(
            ScheduledExecutorService loop,
            KeyValueStore store,
            String instance,
            HttpConnector connector,
            TimeSource timeSource,
            DecisionLog log) {
        this.detector = new CrashDetector(loop, connector, timeSource, this::onCrash);
        this.claims = new ProbeClaims(store, instance, timeSource);
        this.timeSource = timeSource;
        this.log = log;
    }

    /** Returns the text of the first parts for a log line. */
    public static String describe(Collection<PartFingerprint> parts) {
        return parts.stream()
                .limit(MAX_LOGGED_PARTS)
                .map(PartFingerprint::toString)
                .collect(Collectors.joining(","));
    }

    /** Decides about a request with the given prompt parts. */
    public Verdict verdict(Collection<PartFingerprint> parts) {
        return quarantine.verdict(parts, timeSource.monotonicMs());
    }

    /** Claims the next probe of a quarantine; the result is false if another request has it. */
    public CompletableFuture<Boolean> claimProbe(Quarantine probed) {
        return claims.claim(probed);
    }

    /** Records that the connection of a request ended before its response was complete. */
    public void onConnectionLost(Upstream upstream, Collection<PartFingerprint> parts) {
        detector.onConnectionLost(upstream, parts);
    }

    private void onCrash(Upstream upstream, long crashedAtMs, Collection<PartFingerprint> parts) {
        UpstreamIncarnation incarnation =
                new UpstreamIncarnation(upstream.entry().id(), upstream.entry().startedAtMs());
        log.record(
                EventCode.UPSTREAM_CRASHED,
                incarnation.upstreamId(),
                "zone",
                upstream.entry().zone(),
                "started_at_ms",
                incarnation.startedAtMs(),
                "part_count",
                parts.size(),
                "parts",
                describe(parts));
        if (quarantine.recordCrash(incarnation, parts, crashedAtMs, timeSource.monotonicMs())) {
            logChanges("crash of " + incarnation.upstreamId());
        }
    }

    /** Finds out whether an upstream listens and goes on listening; the future completes on the event loop. */
    public CompletableFuture<Boolean> isListening(Upstream upstream) {
        return detector.probeTwice(upstream).thenApply(state -> state == ListenState.LISTENING);
    }

    /** Records a complete and successful response. */
    public void onAnswered(Collection<PartFingerprint> parts) {
        if (quarantine.recordAnswer(parts, timeSource.monotonicMs())) {
            logChanges("normal answer");
        }
    }

    /** Adds crash records of another instance; returns whether anything new became known. */
    public boolean merge(Collection<CrashRecord> records, String source) {
        boolean changed = quarantine.merge(records, timeSource.monotonicMs());
        if (changed) {
            logChanges("report of " + source);
        }
        return changed;
    }

    /** Forgets what has expired. Called periodically. */
    public void expire() {
        quarantine.expire(timeSource.monotonicMs());
        logChanges("expiry");
    }

    private void logChanges(String cause) {
        Set<Set<PartFingerprint>> current = new HashSet<>();
        for (Quarantine each : quarantine.quarantines()) {
            current.add(each.parts());
            if (!quarantinedParts.contains(each.parts())) {
                log.record(
                        EventCode.PROMPT_QUARANTINED,
                        describe(each.parts()),
                        "cause",
                        cause,
                        "crashes",
                        each.crashes(),
                        "blocked_ms",
                        each.blockedUntilMs() - timeSource.monotonicMs());
            }
        }
        for (Set<PartFingerprint> each : quarantinedParts) {
            if (!current.contains(each)) {
                log.record(EventCode.PROMPT_RELEASED, describe(each), "cause", cause);
            }
        }
        if (!current.equals(quarantinedParts)) {
            quarantinesChangedMs = timeSource.monotonicMs();
        }
        quarantinedParts = current;
    }

    /** Returns the crash records to send to other instances, the latest first. */
    public List<CrashRecord> records() {
        return quarantine.records();
    }

    /** Returns the records to which a crash or a part was added at or after a time, the latest crash first. */
    public List<CrashRecord> recordsExtendedSince(long sinceMs) {
        return quarantine.recordsExtendedSince(sinceMs);
    }

    /** Returns the time of the last change of the quarantines. */
    public long quarantinesChangedMs() {
        return quarantinesChangedMs;
    }

    /** Returns a number that is equal for instances with the same knowledge; 0 without records. */
    public long digest() {
        return quarantine.digest();
    }

    /** Returns the number of quarantines in force. */
    public int quarantineCount() {
        return quarantinedParts.size();
    }
}
