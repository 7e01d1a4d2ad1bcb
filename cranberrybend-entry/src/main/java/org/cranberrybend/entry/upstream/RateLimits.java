package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;

/**
 * The rate limits that processes of upstreams have stated in their responses, to this instance or to others. A limit
 * outlives the entry of its upstream, which may expire and be written again. Confined to the event loop.
 */
public final class RateLimits {
    /** Listed processes and others that have stated a limit; the oldest are forgotten first. */
    private static final int MAX_PROCESSES = 30_000;
    /** Time for which other instances are informed of the end of a limit. */
    private static final long REPORT_END_MS = 30_000;
    /** Reports in one message, which bounds its size. */
    private static final int MAX_REPORTS = 300;

    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Map<UpstreamProcess, RateLimit> byProcess = new LinkedHashMap<>();
    /** The processes among {@link #byProcess} that have or had a limit, with the time of its last material change. */
    private final Map<UpstreamProcess, Long> changedMs = new LinkedHashMap<>();

    private long lastChangeMs = Long.MIN_VALUE / 2;

    /** Creates a registry without limits. */
    public RateLimits(TimeSource timeSource, DecisionLog log) {
        this.timeSource = timeSource;
        this.log = log;
    }

    /** Returns the limit of the process of an entry, which is the same object for all entries of that process. */
    RateLimit of(UpstreamRecord entry) {
        return of(UpstreamProcess.of(entry));
    }

    private RateLimit of(UpstreamProcess process) {
        RateLimit limit = byProcess.computeIfAbsent(process, each -> new RateLimit());
        if (byProcess.size() > MAX_PROCESSES) {
            UpstreamProcess oldest = byProcess.keySet().iterator().next();
            byProcess.remove(oldest);
            changedMs.remove(oldest);
        }
        return limit;
    }

    /** Forgets the process of an entry that is no longer listed, unless it has stated a limit: it may be listed again. */
    void onRemoved(UpstreamRecord entry) {
        UpstreamProcess process = UpstreamProcess.of(entry);
        if (!changedMs.containsKey(process)) {
            byProcess.remove(process);
        }
    }

    /** Records that an upstream has stated a limit in a response. */
    public void recordLimit(Upstream upstream, double requestsPerS) {
        apply(UpstreamProcess.of(upstream.entry()), upstream.rateLimit(), requestsPerS, "response", 0);
    }

    /**
     * Records that an upstream has stated no limit in the response to a request. Only the time of sending is certain to
     * precede the response, so a limit that some instance has received since then holds.
     */
    public void recordNoLimit(Upstream upstream, long sentMs) {
        RateLimit limit = upstream.rateLimit();
        if (!limit.precedes(sentMs)) {
            return;
        }
        if (limit.requestsPerS() == RateLimit.NONE) {
            limit.record(RateLimit.NONE, sentMs);
        } else {
            long ageMs = timeSource.monotonicMs() - sentMs;
            apply(UpstreamProcess.of(upstream.entry()), limit, RateLimit.NONE, "response", ageMs);
        }
    }

    /** Applies what another instance knows, as far as it is later than what is known here. */
    public void merge(List<RateLimitReport> reports) {
        long nowMs = timeSource.monotonicMs();
        for (RateLimitReport report : reports) {
            UpstreamProcess process = new UpstreamProcess(report.upstreamId(), report.startedAtMs());
            RateLimit limit = of(process);
            if (report.ageMs() < limit.ageMs(nowMs)) {
                apply(process, limit, report.requestsPerS(), "another instance", report.ageMs());
            }
        }
    }

    private void apply(UpstreamProcess process, RateLimit limit, double requestsPerS, String source, long ageMs) {
        long nowMs = timeSource.monotonicMs();
        boolean wasLimited = limit.requestsPerS() != RateLimit.NONE;
        if (!limit.record(requestsPerS, nowMs - ageMs)) {
            return;
        }
        lastChangeMs = nowMs;
        changedMs.put(process, nowMs);
        if (requestsPerS != RateLimit.NONE) {
            log.record(
                    EventCode.UPSTREAM_LIMITED,
                    process.id(),
                    "requests_per_s",
                    requestsPerS,
                    "source",
                    source,
                    "age_ms",
                    ageMs);
        } else if (wasLimited) {
            log.record(EventCode.UPSTREAM_LIMIT_ENDED, process.id(), "source", source, "age_ms", ageMs);
        }
    }

    /** Returns the time of the last change of a limit that other instances have to know at once. */
    public long lastChangeMs() {
        return lastChangeMs;
    }

    /** Returns the limits in force and those that have ended recently. */
    public List<RateLimitReport> reports() {
        long nowMs = timeSource.monotonicMs();
        List<RateLimitReport> reports = new ArrayList<>();
        Iterator<Map.Entry<UpstreamProcess, Long>> entries =
                changedMs.entrySet().iterator();
        while (entries.hasNext() && reports.size() < MAX_REPORTS) {
            Map.Entry<UpstreamProcess, Long> entry = entries.next();
            UpstreamProcess process = entry.getKey();
            RateLimit limit = of(process);
            if (limit.isInForce(nowMs) || nowMs - entry.getValue() < REPORT_END_MS) {
                long ageMs = Math.max(0, limit.ageMs(nowMs));
                reports.add(new RateLimitReport(process.id(), process.startedAtMs(), limit.requestsPerS(), ageMs));
            } else {
                entries.remove();
            }
        }
        return reports;
    }
}
