package org.cranberrybend.entry.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.Verdict;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.http.HeaderRules;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Handles one request of a caller, from its receipt to exactly one final response.
 *
 * <p>A request is retried at another upstream within the route's limit on attempts, its deadline and the retry budget.
 * If it may have been executed, the route must also allow it to be executed again. A failed connection attempt is not a
 * retry in this sense: it has a limit of its own. The head of a streamed response is sent together with the first
 * event, so that until then the request can still be retried or answered with an error.
 */
final class Exchange implements UpstreamAttempt.ResultListener {
    /** Failed connection attempts after which no other upstream is tried. */
    private static final int MAX_CONNECT_FAILURES = 3;

    private static final long RETRY_AFTER_MS = 400;
    /** Delay of the first check; slightly longer than the time after which an upstream counts as unresponsive. */
    private static final long FIRST_RESPONSIVENESS_CHECK_MS = 1_050;

    private static final long RESPONSIVENESS_CHECK_MS = 300;
    /** Shortest time without an event after which a stream counts as stalled. */
    private static final long MIN_STALL_MS = 1_500;
    /** Multiple of the route's target for pauses between events after which a stream counts as stalled. */
    private static final long STALL_GAP_RATIO = 4;
    /** Time before the deadline that a further attempt needs at least. */
    private static final long MIN_ATTEMPT_TIME_MS = 60;

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int SUCCESS_STATUS_CLASS = 2;

    private final RoutedRequest request;
    private final ServerExchange caller;
    private final RequestServices services;
    private final Set<String> attemptedUpstreams = new LinkedHashSet<>();
    private final List<PartFingerprint> parts;
    private final RequestLog requestLog;
    private UpstreamAttempt attempt;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> responsivenessTimer;
    private int sends;
    private int connectFailures;
    private boolean mayHaveExecuted;
    private boolean usageCounted;
    private boolean headSent;
    private boolean finished;
    /** Whether this request probes a quarantine; a probe is not sent again. */
    private boolean probe;

    private String lastEventId;

    Exchange(RoutedRequest request, ServerExchange caller, RequestServices services) {
        this.request = request;
        this.caller = caller;
        this.services = services;
        this.parts = QuarantineService.partsOf(request.service(), request.prompt());
        this.lastEventId = request.resumeAfterEventId();
        this.requestLog = new RequestLog(request, parts, services);
    }

    void start() {
        long nowMs = services.timeSource().monotonicMs();
        caller.onCallerDisconnected(this::onCallerDisconnected);
        caller.onWritable(this::onCallerWritable);
        deadlineTimer = services.loop().schedule(this::onTimeout, request.deadlineMs() - nowMs, TimeUnit.MILLISECONDS);
        if (request.retryRule() != RetryRule.ONCE) {
            responsivenessTimer = services.loop()
                    .schedule(this::checkResponsiveness, FIRST_RESPONSIVENESS_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        services.requests().add(this);
        services.budget().recordRequest(request.service());
        services.metrics().countAccepted();
        admit();
    }

    /** Sends the request unless its prompt is quarantined. */
    private void admit() {
        Verdict verdict = services.quarantine().verdict(parts);
        if (verdict.kind() == Verdict.Kind.PROBE) {
            services.quarantine()
                    .claimProbe(verdict.quarantine().get())
                    .thenAccept(claimed -> onProbeClaimed(claimed, verdict));
        } else {
            dispatch("first attempt");
        }
    }

    private void onProbeClaimed(boolean claimed, Verdict verdict) {
        if (finished) {
            return;
        }
        probe = claimed;
        if (claimed) {
            dispatch("probe of a quarantined prompt");
        } else {
            refuseQuarantined(verdict);
        }
    }

    private void refuseQuarantined(Verdict verdict) {
        services.metrics().countQuarantineRefusal();
        finish(EventCode.REQUEST_REFUSED, "refused", "quarantined prompt");
        // Spread, so that callers do not return at the same time.
        long spreadMs = Math.floorMod((long) request.attemptId().hashCode(), 1 + verdict.retryAfterMs() / 4);
        ErrorResponse.notRun(ErrorCode.PROMPT_QUARANTINED, verdict.retryAfterMs() + spreadMs)
                .send(caller, request.attemptId());
    }

    private void dispatch(String reason) {
        Verdict verdict = services.quarantine().verdict(parts);
        if (verdict.kind() != Verdict.Kind.ADMIT && !probe) {
            endQuarantined(verdict);
            return;
        }
        long nowMs = services.timeSource().monotonicMs();
        Optional<Upstream> chosen = services.selector()
                .choose(request.service(), request.prompt(), request.latencyClass(), attemptedUpstreams, nowMs);
        if (chosen.isEmpty()) {
            endWithoutResponse("no upstream: " + reason);
            return;
        }
        Upstream upstream = chosen.get();
        attemptedUpstreams.add(upstream.entry().id());
        requestLog.recordDispatch(upstream, reason, attemptedUpstreams.size() == 1);
        attempt = new UpstreamAttempt(request, upstream, services.headerNames(), services.timeSource(), this);
        attempt.start(lastEventId);
    }

    /** Retries the request elsewhere if it may be executed again and its upstream is unresponsive or has stalled. */
    private void checkResponsiveness() {
        long nowMs = services.timeSource().monotonicMs();
        UpstreamAttempt current = attempt;
        if (current != null
                && current.isSent()
                && current.isReading()
                && request.retryRule().allowsReexecution(headSent)) {
            if (isUpstreamUnresponsive(current, nowMs)) {
                current.upstream().ejectUnresponsive(nowMs);
                recordUnhealthy(current.upstream(), "silent");
                if (moveFrom(current, "unresponsive upstream")) {
                    current.upstream().pool().discardIdle();
                }
            } else if (current.isStalled(stallLimitMs(), nowMs)) {
                moveFrom(current, "stalled stream");
            }
        }
        if (!finished) {
            responsivenessTimer =
                    services.loop().schedule(this::checkResponsiveness, RESPONSIVENESS_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether an upstream sends nothing to this process. On a route without streaming, an upstream that
     * executes a single request of this process is not considered: a plain service may take long for one request
     * without sending a byte. A stream that has begun may pause for as long as its route allows.
     */
    private boolean isUpstreamUnresponsive(UpstreamAttempt current, long nowMs) {
        Upstream upstream = current.upstream();
        boolean sendsRegularly = request.route().streaming() || upstream.running() > 1;
        long allowedPauseMs = current.hasEvents() ? 2 * request.route().eventGapTargetMs() : 0;
        return sendsRegularly && upstream.isUnresponsiveSince(current.sentMs(), allowedPauseMs, nowMs);
    }

    private long stallLimitMs() {
        return Math.max(MIN_STALL_MS, STALL_GAP_RATIO * request.route().eventGapTargetMs());
    }

    /** Moves the request to another upstream if possible; otherwise the current attempt goes on. */
    private boolean moveFrom(UpstreamAttempt current, String reason) {
        boolean mayHaveExecutedBefore = mayHaveExecuted;
        sends++;
        mayHaveExecuted = true;
        boolean moved = retry(reason, current);
        if (!moved) {
            sends--;
            mayHaveExecuted = mayHaveExecutedBefore;
        }
        return moved;
    }

    private boolean retry(String reason) {
        return retry(reason, null);
    }

    /**
     * Retries at another upstream if one is available and the attempt limit, the deadline and the retry budget allow
     * it.
     *
     * @param abandoned attempt in progress that is aborted first; null if it has already ended
     * @return whether the request is retried
     */
    private boolean retry(String reason, UpstreamAttempt abandoned) {
        long remainingMs = request.deadlineMs() - services.timeSource().monotonicMs();
        if (sends >= request.route().maxAttempts() || remainingMs < MIN_ATTEMPT_TIME_MS) {
            return false;
        }
        if (services.requests().isRefusing() && request.retryRule() == RetryRule.ONCE) {
            return false;
        }
        if (probe || services.quarantine().verdict(parts).kind() != Verdict.Kind.ADMIT) {
            return false;
        }
        boolean upstreamAvailable = services.selector()
                .choose(
                        request.service(),
                        request.prompt(),
                        request.latencyClass(),
                        attemptedUpstreams,
                        services.timeSource().monotonicMs())
                .isPresent();
        if (!upstreamAvailable || !services.budget().tryAcquire(request.service())) {
            return false;
        }
        if (abandoned != null) {
            abandoned.abort();
        }
        services.metrics().countSend(true);
        requestLog.recordRetry(reason, remainingMs);
        dispatch(reason);
        return true;
    }

    @Override
    public void onConnectFailure(UpstreamAttempt ended, String cause) {
        recordUpstreamFailure(ended, cause);
        connectFailures++;
        if (connectFailures >= MAX_CONNECT_FAILURES) {
            endWithoutResponse("cannot connect: " + cause);
        } else {
            dispatch("cannot connect: " + cause);
        }
    }

    @Override
    public void onUpstreamLeaving(UpstreamAttempt ended) {
        dispatch("upstream is leaving");
    }

    @Override
    public void onLeavingStated(UpstreamAttempt current) {
        services.table().recordLeaving(current.upstream());
    }

    @Override
    public void onRejected(UpstreamAttempt ended, int status) {
        sends++;
        services.metrics().countRejection();
        String cause = "rejected with status " + status;
        if (!retry(cause)) {
            endWithoutResponse(cause);
        }
    }

    @Override
    public void onExecutionStarted(UpstreamAttempt started) {
        mayHaveExecuted = true;
        if (!usageCounted) {
            usageCounted = true;
            request.account().ifPresent(account -> services.usage().recordStart(account.name()));
        }
    }

    @Override
    public void onResponse(UpstreamAttempt ended, HttpResponse head, byte[] body) {
        sends++;
        boolean serverError = head.getCode() >= MIN_SERVER_ERROR_STATUS;
        if (serverError) {
            recordUpstreamFailure(ended, "status " + head.getCode());
            if (request.retryRule().allowsReexecution(headSent) && retry("status " + head.getCode())) {
                return;
            }
        } else {
            ended.upstream().recordSuccess();
        }
        recordAnswer(ended, head);
        if (headSent) {
            abortStream("status " + head.getCode() + " instead of the rest of the stream");
            return;
        }
        caller.respond(head.getCode(), head.getReasonPhrase(), responseHeaders(head), body);
        finish(EventCode.REQUEST_COMPLETED, "completed", "status " + head.getCode());
    }

    @Override
    public void onEvents(UpstreamAttempt current, HttpResponse head, byte[] events, String newLastEventId) {
        if (!headSent) {
            headSent = true;
            services.metrics().recordTimeToFirstEvent(services.timeSource().monotonicMs() - request.receivedMs());
            caller.begin(head.getCode(), head.getReasonPhrase(), responseHeaders(head), ServerExchange.CHUNKED);
        }
        if (!newLastEventId.isEmpty()) {
            lastEventId = newLastEventId;
        }
        caller.write(UpstreamAttempt.buffer(events));
        if (!caller.isWritable()) {
            current.setReading(false);
        }
    }

    private List<Header> responseHeaders(HttpResponse head) {
        List<Header> headers = HeaderRules.endToEnd(head);
        headers.removeIf(
                each -> each.getName().equalsIgnoreCase(services.headerNames().leaving()));
        return headers;
    }

    private void onCallerWritable() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    private void recordAnswer(UpstreamAttempt ended, HttpResponse head) {
        if (head.getCode() / 100 == SUCCESS_STATUS_CLASS) {
            services.quarantine().onAnswered(ended.upstream(), parts, ended.isDelimitedByClose());
        }
    }

    @Override
    public void onStreamEnd(UpstreamAttempt ended, HttpResponse head, byte[] trailingBytes) {
        sends++;
        ended.upstream().recordSuccess();
        recordAnswer(ended, head);
        if (!headSent) {
            headSent = true;
            onExecutionStarted(ended);
            caller.begin(head.getCode(), head.getReasonPhrase(), responseHeaders(head), ServerExchange.CHUNKED);
        }
        if (trailingBytes.length > 0) {
            caller.write(UpstreamAttempt.buffer(trailingBytes));
        }
        caller.end();
        finish(EventCode.REQUEST_COMPLETED, "completed", "stream ended");
    }

    @Override
    public void onResponseLost(UpstreamAttempt ended, String cause) {
        sends++;
        mayHaveExecuted = true;
        services.metrics().countLostResponse();
        recordUpstreamFailure(ended, cause);
        if (ended.isConnectionLost()) {
            services.quarantine().onConnectionLost(ended.upstream(), parts);
        }
        if (ended.isReusedConnection()) {
            ended.upstream().pool().discardIdle();
        }
        if (request.retryRule().allowsReexecution(headSent) && retry(cause)) {
            return;
        }
        if (headSent) {
            abortStream(cause);
        } else {
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        }
    }

    private void recordUpstreamFailure(UpstreamAttempt ended, String cause) {
        if (ended.upstream().recordFailure(services.timeSource().monotonicMs())) {
            recordUnhealthy(ended.upstream(), cause);
        }
    }

    private void recordUnhealthy(Upstream upstream, String cause) {
        services.log().record(EventCode.UPSTREAM_UNHEALTHY, upstream.entry().id(), "cause", cause);
    }

    /** Ends a request that is not retried: as refused if it was certainly not executed, otherwise as failed. */
    private void endWithoutResponse(String cause) {
        if (headSent) {
            abortStream(cause);
        } else if (mayHaveExecuted) {
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        } else {
            refuse(ErrorResponse.notRun(ErrorCode.NO_UPSTREAM, RETRY_AFTER_MS, request.service()), cause);
        }
    }

    /** Ends a request whose prompt was quarantined after its admission. */
    private void endQuarantined(Verdict verdict) {
        if (headSent) {
            abortStream("quarantined prompt");
        } else if (mayHaveExecuted) {
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, "upstream crashed"), "quarantined prompt");
        } else {
            refuseQuarantined(verdict);
        }
    }

    private void fail(ErrorResponse response, String cause) {
        finish(EventCode.REQUEST_FAILED, "failed", cause);
        response.send(caller, request.attemptId());
    }

    private void abortStream(String cause) {
        finish(EventCode.REQUEST_FAILED, "broken_off", cause);
        caller.abort();
    }

    private void onTimeout() {
        long limitMs = request.deadlineMs() - request.receivedMs();
        end("time limit", ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_TIMEOUT, limitMs), ErrorCode.NO_UPSTREAM);
    }

    /** Ends the request because the process stops. */
    void endForShutdown() {
        String cause = "the instance stopped before the response was complete";
        end(cause, ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), ErrorCode.SHUTTING_DOWN);
    }

    /**
     * Ends the request, and its attempt, with a response that states whether it may have been executed.
     *
     * @param ifSent response if the request was sent to an upstream
     * @param ifNotSent error otherwise
     */
    private void end(String cause, ErrorResponse ifSent, ErrorCode ifNotSent) {
        if (finished) {
            return;
        }
        boolean sent = attempt != null && attempt.isSent() || mayHaveExecuted;
        if (attempt != null) {
            attempt.abort();
        }
        if (headSent) {
            abortStream(cause);
        } else if (sent) {
            fail(ifSent, cause);
        } else {
            refuse(ErrorResponse.notRun(ifNotSent, RETRY_AFTER_MS, request.service()), cause);
        }
    }

    private void refuse(ErrorResponse response, String cause) {
        finish(EventCode.REQUEST_REFUSED, "refused", cause);
        response.send(caller, request.attemptId());
    }

    private void onCallerDisconnected() {
        if (!finished) {
            finish(EventCode.REQUEST_ABANDONED, "abandoned", "caller disconnected");
            if (attempt != null) {
                attempt.abort();
            }
        }
    }

    private void finish(EventCode code, String outcome, String cause) {
        finished = true;
        services.requests().remove(this);
        deadlineTimer.cancel(false);
        if (responsivenessTimer != null) {
            responsivenessTimer.cancel(false);
        }
        long elapsedMs = services.timeSource().monotonicMs() - request.receivedMs();
        services.metrics().recordOutcome(outcome, elapsedMs);
        requestLog.recordEnd(code, cause, sends, elapsedMs, attemptedUpstreams);
    }
}
