package org.cranberrybend.entry.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.upstream.Prompt;
import org.cranberrybend.entry.upstream.Upstream;

/** Relates crashes of upstreams to the prompt parts of the requests that ran there. Confined to the event loop. */
public final class QuarantineService {
    /** Prompt parts that a log line lists. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final CrashDetector detector;
    private final DecisionLog log;

    /** Creates the service. */
    public QuarantineService(HttpConnector connector, TimeSource timeSource, DecisionLog log) {
        this.detector = new CrashDetector(connector, timeSource, this::onCrash);
        this.log = log;
    }

    /** Returns the fingerprints of the parts of a prompt that other requests may have, too. */
    public static List<PartFingerprint> partsOf(String service, Prompt prompt) {
        return prompt.partsOfOthers().stream()
                .map(part -> PartFingerprint.of(service, part.id()))
                .collect(Collectors.toList());
    }

    /** Returns the text of the first parts for a log line. */
    public static String describe(Collection<PartFingerprint> parts) {
        return parts.stream()
                .limit(MAX_LOGGED_PARTS)
                .map(PartFingerprint::toString)
                .collect(Collectors.joining(","));
    }

    /** Records that the connection of a request ended before its response was complete. */
    public void onConnectionLost(Upstream upstream, Collection<PartFingerprint> parts) {
        detector.onConnectionLost(upstream, parts);
    }

    private void onCrash(Upstream upstream, long crashedAtMs, Collection<PartFingerprint> parts) {
        log.record(
                EventCode.UPSTREAM_CRASHED,
                upstream.entry().id(),
                "zone",
                upstream.entry().zone(),
                "started_at_ms",
                upstream.entry().startedAtMs(),
                "part_count",
                parts.size(),
                "parts",
                describe(parts));
    }
}
