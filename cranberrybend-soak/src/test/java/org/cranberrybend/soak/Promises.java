package org.cranberrybend.soak;

import com.sun.net.httpserver.Headers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.platform.standin.StandInHeaders;
import org.cranberrybend.platform.standin.StandInUpstream;

/**
 * What is promised to callers, upstreams and the platform, checked from what these see. Thread-safe; one lock guards all
 * of it.
 */
final class Promises {
    static final String ACCOUNT = "alpha";
    private static final List<Integer> REFUSALS = List.of(408, 421, 429, 503);
    private static final int MAX_VIOLATIONS = 20;
    /** Part by which usage may exceed what upstreams began, and requests that may run at the edges. */
    private static final double USAGE_TOLERANCE = 0.05;

    private static final int USAGE_EDGE = 3;

    private record Act(String holder, long atMs) {}

    private final LongSupplier clockMs;
    private final Disturbances disturbances;
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, RequestKind> refused = new HashMap<>();
    private final Map<String, Long> leavingSinceMs = new HashMap<>();
    private final Map<String, Long> largestNumbers = new HashMap<>();
    private final Map<String, List<Act>> acts = new HashMap<>();
    private final Map<Long, String> reports = new TreeMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, String> seenVersions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long reportedRequests;

    Promises(LongSupplier clockMs, Disturbances disturbances) {
        this.clockMs = clockMs;
        this.disturbances = disturbances;
    }

    /** Takes note of a broken promise. */
    synchronized void broken(String promise, String detail) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(clockMs.getAsLong() + " ms: " + promise + ": " + detail);
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns how many requests ended how. */
    synchronized Map<String, Integer> outcomes() {
        return Collections.unmodifiableMap(new LinkedHashMap<>(outcomes));
    }

    synchronized int reportedWindows() {
        return reports.size();
    }

    /** An upstream has announced that it leaves, or is not listed any more. */
    synchronized void upstreamLeaves(String id) {
        leavingSinceMs.put(id, clockMs.getAsLong());
    }

    /** A request has reached an upstream. */
    synchronized void arrived(StandInUpstream upstream, String attemptId, Headers headers, boolean run) {
        long nowMs = clockMs.getAsLong();
        if (headers.containsKey("Authorization")) {
            broken("no key is passed on", attemptId);
        }
        if (attemptId == null) {
            broken("each request has its identifier", upstream.id());
            return;
        }
        if (!ACCOUNT.equals(StandInHeaders.account(headers))) {
            broken("the account is named", attemptId + " came with " + StandInHeaders.account(headers));
        }
        Long leaving = leavingSinceMs.get(upstream.id());
        if (run
                && leaving != null
                && nowMs - leaving > SoakBounds.DRAIN_MS
                && disturbances.isCalm(Disturbances.ALL, leaving, nowMs)) {
            broken("no request for an upstream that leaves", attemptId + " at " + upstream.id());
        }
        if (run) {
            runs.merge(attemptId, 1, Integer::sum);
            RequestKind kind = kindOf(attemptId);
            if (kind.once() && runs.get(attemptId) > 1) {
                broken("at most once", attemptId + " runs again at " + upstream.id());
            }
            if (refused.containsKey(attemptId)) {
                broken("refused requests never run", attemptId + " runs at " + upstream.id());
            }
        }
    }

    /** Returns the kind that an identifier was made for. */
    static RequestKind kindOf(String attemptId) {
        return RequestKind.valueOf(attemptId.substring(0, attemptId.indexOf('-')));
    }

    /** A caller has got an answer. */
    synchronized void answered(String attemptId, Caller.Answer answer, String instance, long sentMs) {
        RequestKind kind = kindOf(attemptId);
        outcomes.merge(answer.whole() ? Integer.toString(answer.status()) : "cut", 1, Integer::sum);
        if (kind.once() && REFUSALS.contains(answer.status())) {
            refused.put(attemptId, kind);
            if (runs.containsKey(attemptId)) {
                broken("refused requests have not run", attemptId + " was answered " + answer.status());
            }
        }
        if (!answer.whole()) {
            cut(attemptId, instance, sentMs);
        }
        if (answer.status() != 200 || !answer.whole()) {
            return;
        }
        String signature = StandInHeaders.signature(answer.headers());
        if (!signature.endsWith("." + attemptId)) {
            broken("each answer belongs to its request", attemptId + " got signature " + signature);
        }
        String expected = kind.stream() ? stream(attemptId) : StandInUpstream.plainBody(attemptId);
        if (!answer.body().equals(expected)) {
            broken("answers are whole", attemptId + " got " + answer.body().length() + " of " + expected.length());
        }
    }

    private static String stream(String attemptId) {
        StringBuilder stream = new StringBuilder();
        for (int number = 1; number <= StandInUpstream.events(attemptId); number++) {
            stream.append(StandInUpstream.event(attemptId, number));
        }
        return stream.toString();
    }

    /** A caller got no answer: its connection ended. */
    synchronized void lost(String attemptId, String instance, long sentMs) {
        outcomes.merge("lost", 1, Integer::sum);
        if (runs.containsKey(attemptId)) {
            cut(attemptId, instance, sentMs);
        }
    }

    /** An answer has ended early though the request was passed on. Planned work alone is no excuse. */
    private void cut(String attemptId, String instance, long sentMs) {
        if (disturbances.isCalm(instance, sentMs, clockMs.getAsLong())) {
            broken("planned work loses no answer", attemptId + " at " + instance + ", sent at " + sentMs + " ms");
        }
    }

    /** A caller found no process at the other end. */
    synchronized void unreachable() {
        outcomes.merge("unreachable", 1, Integer::sum);
    }

    /** An instance has answered a request on a route that a configuration brought, or as if it did not know it. */
    synchronized void probed(String process, int version, boolean known, long sentMs) {
        String seen = seenVersions.getOrDefault(process, "0@0");
        int seenVersion = Integer.parseInt(seen.substring(0, seen.indexOf('@')));
        long seenMs = Long.parseLong(seen.substring(seen.indexOf('@') + 1));
        if (known && version > seenVersion) {
            seenVersions.put(process, version + "@" + clockMs.getAsLong());
        }
        if (!known && version <= seenVersion && sentMs > seenMs + SoakBounds.ROLLBACK_SLACK_MS) {
            broken("configurations never go back", process + " has forgotten version " + version);
        }
    }

    /** The holder of a duty has called the platform. */
    synchronized void dutyCall(String path, String holder, long number, JsonObject body) throws JsonFormatException {
        String subject = path.equals("/usage") ? path : path + body.string("service") + "/" + body.string("zone");
        long nowMs = clockMs.getAsLong();
        long largest = largestNumbers.getOrDefault(subject, 0L);
        boolean calm = disturbances.isCalm(holder, nowMs, nowMs);
        if (number < largest && calm) {
            broken("fencing numbers only grow", subject + " got " + number + " after " + largest);
        }
        largestNumbers.put(subject, Math.max(largest, number));
        List<Act> past = acts.computeIfAbsent(subject, name -> new ArrayList<>());
        boolean otherBetween = false;
        for (int i = past.size() - 1; i >= 0 && nowMs - past.get(i).atMs() < SoakBounds.LEASE_MS; i--) {
            otherBetween |= !past.get(i).holder().equals(holder);
            if (otherBetween && past.get(i).holder().equals(holder) && calm) {
                broken("holders do not alternate", subject + " by " + holder);
            }
        }
        past.add(new Act(holder, nowMs));
        if (path.equals("/usage")) {
            reported(body);
        }
    }

    private void reported(JsonObject body) throws JsonFormatException {
        long window = body.integer("window_id");
        JsonObject counts = body.object("counts");
        Map<String, Long> figures = new TreeMap<>();
        for (String account : counts.names()) {
            figures.put(account, counts.integer(account));
        }
        String before = reports.put(window, figures.toString());
        if (before == null) {
            reportedRequests += figures.getOrDefault(ACCOUNT, 0L);
        } else if (!before.equals(figures.toString())) {
            broken("each window is reported with one set of figures", window + ": " + before + ", " + figures);
        }
    }

    /** Checks what can be told only at the end. */
    synchronized void checkEnd() {
        if (reportedRequests > runs.size() * (1 + USAGE_TOLERANCE) + USAGE_EDGE) {
            broken("usage is not more than began", reportedRequests + " reported, " + runs.size() + " began");
        }
    }
}
