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
 * Checks what the router guarantees to callers, upstreams and the platform, from what these observe. Guarantees that a
 * fault may suspend are checked only for instances that are not disrupted. Thread-safe; one lock guards all state.
 */
final class Promises {
    static final String ACCOUNT = "alpha";
    private static final List<Integer> REFUSAL_STATUSES = List.of(408, 421, 429, 503);
    private static final int MAX_VIOLATIONS = 20;
    /** Ratio by which reported usage may exceed the requests that upstreams executed. */
    private static final double USAGE_TOLERANCE_RATIO = 0.05;
    /** Further requests by which it may, for those in flight at the boundaries. */
    private static final int USAGE_TOLERANCE_REQUESTS = 3;

    /** Time after which all responses of an upstream contain its statement that it is leaving. */
    private static final long STATEMENT_MARGIN_MS = 100;

    /** A request as its caller sent it to an instance, after the given number of restarts of its process. */
    private record Sent(String instance, int restarts, long atMs) {}

    /** The moment at which a process had passed a response on. */
    private record PassedOn(int restarts, long atMs) {}

    /** Time after the answer in which requests may still arrive. */
    private static final long PAUSE_START_MS = 500;

    private static final int MAX_PAUSE_ARRIVALS = 2;

    /** The time for which an upstream has asked one process. */
    private static final class Pause {
        private final int restarts;
        private final long startMs;
        private int arrivals;

        Pause(int restarts, long startMs) {
            this.restarts = restarts;
            this.startMs = startMs;
        }
    }

    private record DutyCall(String holder, long atMs) {}

    private final LongSupplier clockMs;
    private final Disruptions disruptions;
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, RequestKind> refusedRequests = new HashMap<>();
    private final Map<String, Long> leavingSinceMs = new HashMap<>();
    private final Map<String, Long> evacuatedSinceMs = new HashMap<>();
    private final Map<String, Long> leavingStatedSinceMs = new HashMap<>();
    private final Map<String, Sent> sentRequests = new HashMap<>();
    /** Requests that arrived at an upstream whose responses contained the statement. */
    private final Map<String, String> statedUpstreams = new HashMap<>();
    /** First such response that the process of an instance passed on, by instance and upstream. */
    private final Map<String, PassedOn> passedOnStatements = new HashMap<>();

    /** Latest pause by instance and upstream. */
    private final Map<String, Pause> pauses = new HashMap<>();

    private final RateLimitCheck rateLimits = new RateLimitCheck();
    private final Map<String, Integer> restarts = new HashMap<>();

    private final Map<String, Long> largestFencingNumbers = new HashMap<>();
    private final Map<String, List<DutyCall>> dutyCalls = new HashMap<>();
    private final Map<Long, String> usageReports = new TreeMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, String> seenVersions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long reportedRequests;

    Promises(LongSupplier clockMs, Disruptions disruptions) {
        this.clockMs = clockMs;
        this.disruptions = disruptions;
    }

    /** Records a broken promise. */
    synchronized void recordViolation(String promise, String detail) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(clockMs.getAsLong() + " ms: " + promise + ": " + detail);
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of requests by outcome: status code, {@code cut}, {@code lost} or {@code unreachable}. */
    synchronized Map<String, Integer> outcomes() {
        return Collections.unmodifiableMap(new LinkedHashMap<>(outcomes));
    }

    synchronized int reportedWindows() {
        return usageReports.size();
    }

    /** Records that an upstream has announced that it leaves, or that its entry was deleted. */
    synchronized void recordUpstreamLeaving(String id) {
        leavingSinceMs.put(id, clockMs.getAsLong());
    }

    /** Records that the store has taken the evacuation of a zone. */
    synchronized void recordEvacuation(String zone) {
        evacuatedSinceMs.put(zone, clockMs.getAsLong());
    }

    /** Records that the evacuation of a zone is about to end. */
    synchronized void recordEvacuationEnd(String zone) {
        evacuatedSinceMs.remove(zone);
    }

    /**
     * Checks that nothing reaches an evacuated zone after the bound from an instance that was undisrupted as long. The
     * recovery grace period is a part of this time.
     */
    private void checkEvacuation(StandInUpstream upstream, String attemptId, long nowMs) {
        Long sinceMs = evacuatedSinceMs.get(upstream.zone());
        Sent sent = sentRequests.get(attemptId);
        if (sinceMs == null || sent == null || nowMs - sinceMs <= SoakBounds.EVACUATION_MS) {
            return;
        }
        long undisruptedMs = SoakBounds.EVACUATION_MS - SoakBounds.RECOVERY_GRACE_MS;
        if (disruptions.isUndisrupted(sent.instance(), nowMs - undisruptedMs, nowMs)) {
            recordViolation("no request for an evacuated zone", attemptId + " at " + upstream.id());
        }
    }

    /** Records that an upstream states in its responses from now on that it is leaving. */
    synchronized void recordLeavingStated(String id) {
        leavingStatedSinceMs.putIfAbsent(id, clockMs.getAsLong());
    }

    /** Records that an upstream states a rate limit in its responses from now on. */
    synchronized void recordRateLimit(String id, double requestsPerS) {
        rateLimits.begin(id, requestsPerS, clockMs.getAsLong());
    }

    /** Records that an upstream is about to state no rate limit any more. */
    synchronized void recordRateLimitEnd(String id) {
        rateLimits.end(id);
    }

    /** Checks that an upstream receives no more than its rate limit from the instances that know it. */
    private void checkRateLimit(String id, String attemptId, long nowMs) {
        Sent sent = sentRequests.get(attemptId);
        if (sent == null) {
            return;
        }
        boolean undisturbed = sent.restarts() == restartsOf(sent.instance())
                && disruptions.isUndisturbed(sent.instance(), nowMs - SoakBounds.RECOVERY_GRACE_MS, nowMs);
        if (rateLimits.exceeds(id, attemptId, sent.instance(), sent.restarts(), undisturbed, nowMs)) {
            recordViolation("no more requests than an upstream states", attemptId + " at " + id);
        }
    }

    /** Records that a caller sends a request to an instance. */
    synchronized void recordSent(String attemptId, String instance, long sentMs) {
        sentRequests.put(attemptId, new Sent(instance, restartsOf(instance), sentMs));
    }

    /** Records that a new process of an instance is about to start; the previous one has ended. */
    synchronized void recordRestart(String instance) {
        restarts.merge(instance, 1, Integer::sum);
    }

    private int restartsOf(String instance) {
        return restarts.getOrDefault(instance, 0);
    }

    /**
     * Checks that a process sends nothing to an upstream after it has passed its statement on. No disruption but a
     * restart suspends this.
     */
    private void checkStatement(String id, String attemptId, long nowMs) {
        Long statedMs = leavingStatedSinceMs.get(id);
        if (statedMs != null && nowMs - statedMs > STATEMENT_MARGIN_MS) {
            statedUpstreams.put(attemptId, id);
        }
        Sent sent = sentRequests.get(attemptId);
        PassedOn passedOn = sent == null ? null : passedOnStatements.get(sent.instance() + " " + id);
        if (passedOn != null && sent.atMs() > passedOn.atMs() && passedOn.restarts() == restartsOf(sent.instance())) {
            recordViolation("no request after the statement of leaving", attemptId + " at " + id);
        }
    }

    private void recordStatementPassedOn(String attemptId, String instance) {
        String upstream = statedUpstreams.get(attemptId);
        Sent sent = sentRequests.get(attemptId);
        if (upstream != null && sent != null && sent.restarts() == restartsOf(instance)) {
            String key = instance + " " + upstream;
            PassedOn first = passedOnStatements.get(key);
            if (first == null || first.restarts() != sent.restarts()) {
                passedOnStatements.put(key, new PassedOn(sent.restarts(), clockMs.getAsLong()));
            }
        }
    }

    /** Records a request that an upstream received; {@code run} is whether it is executed. */
    synchronized void recordUpstreamRequest(StandInUpstream upstream, String attemptId, Headers headers, boolean run) {
        long nowMs = clockMs.getAsLong();
        if (headers.containsKey("Authorization")) {
            recordViolation("no key is passed on", attemptId);
        }
        if (attemptId == null) {
            recordViolation("each request has its identifier", upstream.id());
            return;
        }
        if (!ACCOUNT.equals(StandInHeaders.account(headers))) {
            recordViolation("the account is named", attemptId + " came with " + StandInHeaders.account(headers));
        }
        checkStatement(upstream.id(), attemptId, nowMs);
        checkPause(upstream.id(), attemptId, nowMs);
        checkRateLimit(upstream.id(), attemptId, nowMs);
        checkEvacuation(upstream, attemptId, nowMs);
        Long leavingMs = leavingSinceMs.get(upstream.id());
        if (run
                && leavingMs != null
                && nowMs - leavingMs > SoakBounds.DRAIN_MS
                && disruptions.isUndisrupted(Disruptions.ALL, leavingMs, nowMs)) {
            recordViolation("no request for an upstream that leaves", attemptId + " at " + upstream.id());
        }
        if (!run && upstream.isAskingForTime()) {
            recordPauseAsked(upstream.id(), attemptId);
        }
        if (run) {
            executions.merge(attemptId, 1, Integer::sum);
            RequestKind kind = kindOf(attemptId);
            if (kind.isAtMostOnce() && executions.get(attemptId) > 1) {
                recordViolation("at most once", attemptId + " runs again at " + upstream.id());
            }
            if (refusedRequests.containsKey(attemptId)) {
                recordViolation("refused requests never run", attemptId + " runs at " + upstream.id());
            }
        }
    }

    /** Records that an upstream is about to reject a request and to ask for time. */
    private void recordPauseAsked(String upstream, String attemptId) {
        Sent sent = sentRequests.get(attemptId);
        if (sent != null) {
            pauses.put(sent.instance() + " " + upstream, new Pause(sent.restarts(), clockMs.getAsLong()));
        }
    }

    /** Checks that a process sends at most two requests in the time for which an upstream has asked. */
    private void checkPause(String id, String attemptId, long nowMs) {
        Sent sent = sentRequests.get(attemptId);
        Pause pause = sent == null ? null : pauses.get(sent.instance() + " " + id);
        if (pause == null
                || pause.restarts != restartsOf(sent.instance())
                || nowMs < pause.startMs + PAUSE_START_MS
                || nowMs > pause.startMs + StandInUpstream.PAUSE_MS) {
            return;
        }
        pause.arrivals++;
        if (pause.arrivals > MAX_PAUSE_ARRIVALS && disruptions.isUndisturbed(sent.instance(), pause.startMs, nowMs)) {
            recordViolation("no requests in the time that an upstream asks for", attemptId + " at " + id);
        }
    }

    /** Returns the kind of a request by its identifier. */
    static RequestKind kindOf(String attemptId) {
        return RequestKind.valueOf(attemptId.substring(0, attemptId.indexOf('-')));
    }

    /** Records a response that a caller received. */
    synchronized void recordResponse(String attemptId, Caller.Response response, String instance, long sentMs) {
        RequestKind kind = kindOf(attemptId);
        outcomes.merge(response.complete() ? Integer.toString(response.status()) : "cut", 1, Integer::sum);
        if (kind.isAtMostOnce() && REFUSAL_STATUSES.contains(response.status())) {
            refusedRequests.put(attemptId, kind);
            if (executions.containsKey(attemptId)) {
                recordViolation("refused requests have not run", attemptId + " was answered " + response.status());
            }
        }
        if (!response.complete()) {
            checkResponseLoss(attemptId, instance, sentMs);
        }
        if (response.status() != 200 || !response.complete()) {
            return;
        }
        recordStatementPassedOn(attemptId, instance);
        rateLimits.recordResponse(attemptId, instance, restartsOf(instance), clockMs.getAsLong());
        String signature = StandInHeaders.signature(response.headers());
        if (!signature.endsWith("." + attemptId)) {
            recordViolation("each answer belongs to its request", attemptId + " got signature " + signature);
        }
        String expected = kind.isStream() ? expectedStream(attemptId) : StandInUpstream.plainBody(attemptId);
        if (!response.body().equals(expected)) {
            recordViolation(
                    "answers are whole", attemptId + " got " + response.body().length() + " of " + expected.length());
        }
    }

    /** Returns the whole stream for a request. */
    static String expectedStream(String attemptId) {
        StringBuilder stream = new StringBuilder();
        for (int number = 1; number <= StandInUpstream.events(attemptId); number++) {
            stream.append(StandInUpstream.event(attemptId, number));
        }
        return stream.toString();
    }

    /** Records a connection that ended, or timed out, before the response header. */
    synchronized void recordLostResponse(String attemptId, String instance, long sentMs) {
        outcomes.merge("lost", 1, Integer::sum);
        if (executions.containsKey(attemptId)) {
            checkResponseLoss(attemptId, instance, sentMs);
        }
    }

    /**
     * Checks the loss or truncation of a response to a request that was passed to an upstream: only a disruption of the
     * instance excuses it, no planned operation.
     */
    private void checkResponseLoss(String attemptId, String instance, long sentMs) {
        if (disruptions.isUndisrupted(instance, sentMs, clockMs.getAsLong())) {
            recordViolation(
                    "planned work loses no answer", attemptId + " at " + instance + ", sent at " + sentMs + " ms");
        }
    }

    /** Records a refused connection: no process listens. */
    synchronized void recordUnreachable() {
        outcomes.merge("unreachable", 1, Integer::sum);
    }

    /** Records whether a process knows the route that a configuration version added. */
    synchronized void recordProbe(String process, int version, boolean known, long sentMs) {
        String versionAndTime = seenVersions.getOrDefault(process, "0@0");
        int seenVersion = Integer.parseInt(versionAndTime.substring(0, versionAndTime.indexOf('@')));
        long seenMs = Long.parseLong(versionAndTime.substring(versionAndTime.indexOf('@') + 1));
        if (known && version > seenVersion) {
            seenVersions.put(process, version + "@" + clockMs.getAsLong());
        }
        if (!known && version <= seenVersion && sentMs > seenMs + SoakBounds.ROLLBACK_SLACK_MS) {
            recordViolation("configurations never go back", process + " has forgotten version " + version);
        }
    }

    /** Records a call of a lease holder to the platform. */
    synchronized void recordDutyCall(String path, String holder, long number, JsonObject body)
            throws JsonFormatException {
        String subject = path.equals("/usage") ? path : path + body.string("service") + "/" + body.string("zone");
        long nowMs = clockMs.getAsLong();
        long largestNumber = largestFencingNumbers.getOrDefault(subject, 0L);
        boolean undisrupted = disruptions.isUndisrupted(holder, nowMs, nowMs);
        if (number < largestNumber && undisrupted) {
            recordViolation("fencing numbers only grow", subject + " got " + number + " after " + largestNumber);
        }
        largestFencingNumbers.put(subject, Math.max(largestNumber, number));
        List<DutyCall> earlierCalls = dutyCalls.computeIfAbsent(subject, name -> new ArrayList<>());
        boolean otherHolderSince = false;
        for (int i = earlierCalls.size() - 1;
                i >= 0 && nowMs - earlierCalls.get(i).atMs() < SoakBounds.LEASE_MS;
                i--) {
            otherHolderSince |= !earlierCalls.get(i).holder().equals(holder);
            if (otherHolderSince && earlierCalls.get(i).holder().equals(holder) && undisrupted) {
                recordViolation("holders do not alternate", subject + " by " + holder);
            }
        }
        earlierCalls.add(new DutyCall(holder, nowMs));
        if (path.equals("/usage")) {
            recordUsageReport(body);
        }
    }

    private void recordUsageReport(JsonObject body) throws JsonFormatException {
        long window = body.integer("window_id");
        JsonObject counts = body.object("counts");
        Map<String, Long> requestCounts = new TreeMap<>();
        for (String account : counts.names()) {
            requestCounts.put(account, counts.integer(account));
        }
        String before = usageReports.put(window, requestCounts.toString());
        if (before == null) {
            reportedRequests += requestCounts.getOrDefault(ACCOUNT, 0L);
        } else if (!before.equals(requestCounts.toString())) {
            recordViolation(
                    "each window is reported with one set of figures", window + ": " + before + ", " + requestCounts);
        }
    }

    /** Checks at the end of a run that not more usage was reported than upstreams executed requests. */
    synchronized void checkReportedUsage() {
        if (reportedRequests > executions.size() * (1 + USAGE_TOLERANCE_RATIO) + USAGE_TOLERANCE_REQUESTS) {
            recordViolation(
                    "usage is not more than began", reportedRequests + " reported, " + executions.size() + " began");
        }
    }
}
