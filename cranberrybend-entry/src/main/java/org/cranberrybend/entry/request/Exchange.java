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
import org.cranberrybend.entry.upstream.Exclusion;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Handles one request of a caller, from its receipt to exactly one final response.
 *
 * <p>A request is retried at another upstream within the route's limit on attempts, its deadline and the retry budget.
 * If it may have been executed, the route must also allow it to be executed again. A failed connection attempt is not a
 * retry in this sense: it has a limit of its own. The head of a streamed response is sent together with the first
 * event, so that until then the request can still be retried or answered with an error.
 */
final class Exchange implements UpstreamAttempt.ResultListener, ResponsivenessMonitor.Subject {
    /** Failed connection attempts after which no other upstream is tried. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Time before the deadline that a further attempt needs at least. */
    private static final long MIN_ATTEMPT_TIME_MS = 60;

    private static final int SUCCESS_STATUS_CLASS = 2;

    private final RoutedRequest request;
    private final ServerExchange caller;
    private final RequestServices services;
    private final Set<String> attemptedUpstreams = new LinkedHashSet<>();
    private final List<PartFingerprint> parts;
    private final RequestLog requestLog;
    private final ResponsivenessMonitor responsiveness;
    private final RequestPlacement placement;
    private final HeldRequest held;
    private UpstreamAttempt attempt;
    private ScheduledFuture<?> deadlineTimer;
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
        this.parts = request.prompt().partsOfOthers();
        this.lastEventId = request.resumeAfterEventId();
        this.requestLog = new RequestLog(request, parts, services);
        this.responsiveness = new ResponsivenessMonitor(this, request, services, requestLog);
        this.placement = new RequestPlacement(request, services);
        this.held = new HeldRequest(request, placement, requestLog, this::sendHeld, this::refuse);
    }

    void start() {
        long nowMs = services.timeSource().monotonicMs();
        caller.onCallerDisconnected(this::onCallerDisconnected);
        caller.onWritable(this::onCallerWritable);
        deadlineTimer = services.loop().schedule(this::onTimeout, request.deadlineMs() - nowMs, TimeUnit.MILLISECONDS);
        if (request.retryRule() != RetryRule.ONCE) {
            responsiveness.start();
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
        long retryAfterMs = ErrorResponse.spread(verdict.retryAfterMs(), request.attemptId());
        refuse(ErrorResponse.notRun(ErrorCode.PROMPT_QUARANTINED, retryAfterMs), "quarantined prompt");
    }

    private void dispatch(String reason) {
        Verdict verdict = services.quarantine().verdict(parts);
        if (verdict.kind() != Verdict.Kind.ADMIT && !probe) {
            endQuarantined(verdict);
            return;
        }
        if (services.waiting().isAnyWaiting(placement) && tryWait()) {
            return;
        }
        place(reason, sends == 0 && !probe && attemptedUpstreams.isEmpty());
    }

    /**
     * Sends the request, or lets it wait if no upstream may receive it now.
     *
     * @param mayBeHeld whether it waits, too, if all upstreams are full
     */
    private void place(String reason, boolean mayBeHeld) {
        Optional<Upstream> chosen = placement.choose(attemptedUpstreams);
        if (chosen.isPresent()) {
            boolean taken = mayBeHeld
                    && !services.requests().isRefusing()
                    && services.overload().takes(held, chosen.get());
            if (!taken) {
                send(chosen.get(), reason);
            }
        } else if (pauseRemainingMs() == 0 || !tryWait()) {
            endWithoutResponse("no upstream: " + reason);
        }
    }

    /** Waits if all upstreams are paused or limited, the request was not sent yet, and its deadline allows it. */
    private boolean tryWait() {
        if (sends > 0
                || probe
                || services.requests().isRefusing()
                || placement.isWaitTooLong(request.deadlineMs() - MIN_ATTEMPT_TIME_MS, attemptedUpstreams)) {
            return false;
        }
        return services.waiting().tryAdd(placement.queue(), request.enginePriority(), this);
    }

    /** Sends a request that has waited for room, unless its prompt was quarantined meanwhile. */
    private void sendHeld() {
        Verdict verdict = services.quarantine().verdict(parts);
        if (verdict.kind() == Verdict.Kind.ADMIT) {
            place("after a wait for room", false);
        } else {
            endQuarantined(verdict);
        }
    }

    /** Returns the time until an upstream may receive this request; 0 if one may now, or none is left. */
    long pauseRemainingMs() {
        return placement.pauseRemainingMs(attemptedUpstreams);
    }

    /** Sends a request that has waited if an upstream may receive it; returns whether it waits no longer. */
    boolean tryEndWait() {
        if (finished) {
            return true;
        }
        if (pauseRemainingMs() > 0) {
            return false;
        }
        dispatch("after a pause");
        return true;
    }

    /** Refuses a request that has waited if that would end too late for it; returns whether it waits no longer. */
    boolean endWaitIfTooLong(long waitEndMs) {
        boolean limitedWaitOver = placement.isLimitedWaitOver();
        if (!finished && (limitedWaitOver || waitEndMs > request.deadlineMs() - MIN_ATTEMPT_TIME_MS)) {
            endWithoutResponse(limitedWaitOver ? "upstreams limit their requests" : "upstreams have asked for time");
        }
        return finished;
    }

    private void send(Upstream upstream, String reason) {
        attemptedUpstreams.add(upstream.entry().id());
        requestLog.recordDispatch(upstream, reason, attemptedUpstreams.size() == 1, placement);
        attempt = new UpstreamAttempt(request, upstream, services, this);
        attempt.start(lastEventId);
    }

    @Override
    public UpstreamAttempt replaceableAttempt() {
        return request.retryRule().allowsReexecution(headSent) ? attempt : null;
    }

    /** Moves the request to another upstream if possible; otherwise the current attempt goes on. */
    @Override
    public boolean moveFrom(UpstreamAttempt current, String reason) {
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

    /**
     * Retries at another upstream if one is available and the attempt limit, the deadline and the retry budget allow
     * it.
     *
     * @param abandoned attempt in progress that is aborted first; null if it has already ended
     * @return whether the request is retried
     */
    private boolean retry(String reason, UpstreamAttempt abandoned) {
        long remainingMs = request.deadlineMs() - services.timeSource().monotonicMs();
        boolean stopping = services.requests().isRefusing() && request.retryRule() == RetryRule.ONCE;
        if (stopping || sends >= request.route().maxAttempts() || remainingMs < MIN_ATTEMPT_TIME_MS) {
            return false;
        }
        if (probe || services.quarantine().verdict(parts).kind() != Verdict.Kind.ADMIT) {
            return false;
        }
        if (placement.choose(attemptedUpstreams).isEmpty() || !services.budget().tryAcquire(request.service())) {
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
        requestLog.recordFailure(ended.upstream(), cause);
        connectFailures++;
        if (connectFailures >= MAX_CONNECT_FAILURES) {
            endWithoutResponse("cannot connect: " + cause);
        } else {
            dispatch("cannot connect: " + cause);
        }
    }

    @Override
    public Optional<Exclusion> zoneExclusion(UpstreamAttempt connected) {
        return placement.zoneExclusion(connected.upstream());
    }

    @Override
    public void onWithheld(UpstreamAttempt ended, String cause) {
        // It was not attempted: after its pause the request may be sent there.
        attemptedUpstreams.remove(ended.upstream().entry().id());
        dispatch(cause);
    }

    @Override
    public void onLeavingStated(UpstreamAttempt current) {
        services.table().recordLeaving(current.upstream());
    }

    @Override
    public void onPauseStated(UpstreamAttempt current, long pauseMs) {
        services.metrics().countPause();
        services.table().recordPause(current.upstream(), pauseMs);
    }

    @Override
    public void onRejected(UpstreamAttempt ended, int status) {
        sends++;
        services.metrics().countRejection();
        if (RefusalStatus.MISDIRECTED_REQUEST.is(status)) {
            requestLog.recordUnhealthy(ended.upstream(), "another process at its address");
            ended.upstream().ejectReplaced(services.timeSource().monotonicMs());
        }
        String cause = "rejected with status " + status;
        if (!retry(cause, null)) {
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
        String status = "status " + head.getCode();
        ResponseKind kind = ResponseKind.of(head.getCode());
        requestLog.recordResponse(ended.upstream(), head);
        if (kind != ResponseKind.ANSWER && request.retryRule().allowsReexecution(headSent) && retry(status, null)) {
            return;
        }
        recordAnswer(head);
        if (headSent) {
            abortStream(status + " instead of the rest of the stream");
            return;
        }
        if (kind == ResponseKind.UNPROVEN_REFUSAL) {
            String cause = status + " without a statement that the request was not executed";
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
            return;
        }
        caller.respond(
                head.getCode(),
                head.getReasonPhrase(),
                services.headerNames().toCaller(HeaderRules.endToEnd(head)),
                body);
        finish(EventCode.REQUEST_COMPLETED, "completed", status);
    }

    @Override
    public void onEvents(UpstreamAttempt current, HttpResponse head, byte[] events, String newLastEventId) {
        if (!headSent) {
            services.metrics().recordTimeToFirstEvent(services.timeSource().monotonicMs() - request.receivedMs());
            beginStream(head);
        }
        if (!newLastEventId.isEmpty()) {
            lastEventId = newLastEventId;
        }
        caller.write(UpstreamAttempt.buffer(events));
        if (!caller.isWritable()) {
            current.setReading(false);
        }
    }

    private void beginStream(HttpResponse head) {
        headSent = true;
        List<Header> headers = services.headerNames().toCaller(HeaderRules.endToEnd(head));
        caller.begin(head.getCode(), head.getReasonPhrase(), headers, ServerExchange.CHUNKED);
    }

    private void onCallerWritable() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    private void recordAnswer(HttpResponse head) {
        if (head.getCode() / 100 == SUCCESS_STATUS_CLASS) {
            services.quarantine().onAnswered(parts);
        }
    }

    @Override
    public void onStreamEnd(UpstreamAttempt ended, HttpResponse head, byte[] trailingBytes) {
        sends++;
        ended.upstream().recordSuccess();
        recordAnswer(head);
        if (!headSent) {
            onExecutionStarted(ended);
            beginStream(head);
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
        requestLog.recordFailure(ended.upstream(), cause);
        if (ended.isConnectionLost()) {
            services.quarantine().onConnectionLost(ended.upstream(), parts);
        }
        if (ended.isReusedConnection()) {
            ended.upstream().pool().discardIdle();
        }
        if (request.retryRule().allowsReexecution(headSent) && retry(cause, null)) {
            return;
        }
        if (headSent) {
            abortStream(cause);
        } else {
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        }
    }

    /** Ends a request that is not retried: as refused if it was certainly not executed, otherwise as failed. */
    private void endWithoutResponse(String cause) {
        if (headSent) {
            abortStream(cause);
        } else if (mayHaveExecuted) {
            fail(ErrorResponse.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        } else {
            refuse(placement.refusal(), cause);
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
        if (attempt != null) {
            attempt.discardIdleConnections();
        }
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
            refuse(ErrorResponse.notRun(ifNotSent, placement.retryAfterMs(), request.service()), cause);
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
        services.overload().remove(held);
        deadlineTimer.cancel(false);
        responsiveness.stop();
        long elapsedMs = services.timeSource().monotonicMs() - request.receivedMs();
        services.metrics().recordOutcome(outcome, elapsedMs);
        requestLog.recordEnd(code, cause, sends, elapsedMs, attemptedUpstreams, attempt);
    }
}
