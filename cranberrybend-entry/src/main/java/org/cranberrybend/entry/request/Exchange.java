package org.cranberrybend.entry.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.http.HeaderRules;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * One attempt of a caller, from its receipt to its one final answer.
 *
 * <p>The rules on another try: a request that certainly did not run may go to another upstream while the route's number
 * of attempts, the time and the budget last; one that may have run only if its route allows it to run again. The head of
 * a stream is sent with its first event, so that until then any other answer is still possible.
 */
final class Exchange implements UpstreamAttempt.Owner {
    /** Failed attempts to connect after which a request is refused. */
    private static final int MAX_CONNECT_FAILURES = 3;

    private static final long RETRY_AFTER_MS = 400;
    /** Time of the first look for a silent upstream; a little more than an upstream may be silent. */
    private static final long FIRST_SILENCE_CHECK_MS = 1_050;

    private static final long SILENCE_CHECK_MS = 300;
    /** Time left below which no further upstream is tried. */
    private static final long MIN_TIME_FOR_TRY_MS = 60;

    private static final int SERVER_ERROR = 500;

    private final RoutedRequest request;
    private final ServerExchange caller;
    private final RequestServices services;
    private final Set<String> tried = new LinkedHashSet<>();
    private final boolean sampled;
    private UpstreamAttempt attempt;
    private ScheduledFuture<?> timer;
    private ScheduledFuture<?> silenceTimer;
    private int sends;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean counted;
    private boolean headSent;
    private boolean finished;
    private String lastEventId;

    Exchange(RoutedRequest request, ServerExchange caller, RequestServices services) {
        this.request = request;
        this.caller = caller;
        this.services = services;
        this.lastEventId = request.resumeAfter();
        this.sampled = DecisionLog.isSampled(request.attemptId());
    }

    void start() {
        long nowMs = services.timeSource().monotonicMs();
        caller.onCallerDisconnected(this::onCallerGone);
        timer = services.loop().schedule(this::onTimeout, request.endMs() - nowMs, TimeUnit.MILLISECONDS);
        if (request.repeatRule() != RetryRule.ONCE) {
            silenceTimer = services.loop().schedule(this::checkSilence, FIRST_SILENCE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        services.budget().recordRequest(request.service());
        services.metrics().accepted();
        tryNext("first try");
    }

    private void tryNext(String reason) {
        long nowMs = services.timeSource().monotonicMs();
        Optional<Upstream> chosen =
                services.selector().choose(request.service(), request.prompt(), request.urgent(), tried, nowMs);
        if (chosen.isEmpty()) {
            giveUp("no upstream: " + reason);
            return;
        }
        Upstream upstream = chosen.get();
        tried.add(upstream.entry().id());
        if (sampled || tried.size() > 1) {
            services.log()
                    .record(
                            EventCode.REQUEST_DISPATCHED,
                            request.attemptId(),
                            "route",
                            request.route().name(),
                            "upstream",
                            upstream.entry().id(),
                            "reason",
                            reason,
                            "estimated_requests",
                            upstream.estimatedRequests(nowMs),
                            "directory_age_ms",
                            services.table().ageMs());
        }
        attempt = new UpstreamAttempt(request, upstream, services.names(), services.timeSource(), this);
        attempt.start(lastEventId);
    }

    /**
     * Leaves an upstream from which nothing comes any more, if the request may run again and another one is left. A
     * plain service may just work long on a single request; an engine that works sends events.
     */
    private void checkSilence() {
        long nowMs = services.timeSource().monotonicMs();
        UpstreamAttempt current = attempt;
        if (current.isSent()
                && (request.route().streaming() || current.upstream().running() > 1)
                && current.upstream().isSilentSince(current.sentMs(), nowMs)
                && request.repeatRule().allowsAnotherRun(headSent)) {
            current.upstream().markSilent(nowMs);
            services.log()
                    .record(
                            EventCode.UPSTREAM_UNHEALTHY,
                            current.upstream().entry().id(),
                            "cause",
                            "silent");
            sends++;
            mayHaveRun = true;
            if (tryAnother("silent upstream", current)) {
                current.upstream().pool().discardIdle();
            } else {
                sends--;
            }
        }
        if (!finished) {
            silenceTimer = services.loop().schedule(this::checkSilence, SILENCE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean tryAnother(String reason) {
        return tryAnother(reason, null);
    }

    /**
     * Tries another upstream if the route, the time and the budget allow it; returns whether it does.
     *
     * @param left attempt in progress that is ended first; null if it has ended
     */
    private boolean tryAnother(String reason, UpstreamAttempt left) {
        long leftMs = request.endMs() - services.timeSource().monotonicMs();
        if (sends >= request.route().maxAttempts() || leftMs < MIN_TIME_FOR_TRY_MS) {
            return false;
        }
        boolean anyLeft = services.selector()
                .choose(
                        request.service(),
                        request.prompt(),
                        request.urgent(),
                        tried,
                        services.timeSource().monotonicMs())
                .isPresent();
        if (!anyLeft || !services.budget().tryTake(request.service())) {
            return false;
        }
        if (left != null) {
            left.cancel();
        }
        services.metrics().sent(true);
        services.log().record(EventCode.REQUEST_RETRIED, request.attemptId(), "reason", reason, "left_ms", leftMs);
        tryNext(reason);
        return true;
    }

    @Override
    public void onNotSent(UpstreamAttempt ended, String cause) {
        upstreamFailed(ended, cause);
        connectFailures++;
        if (connectFailures >= MAX_CONNECT_FAILURES) {
            giveUp("cannot connect: " + cause);
        } else {
            tryNext("cannot connect: " + cause);
        }
    }

    @Override
    public void onRejected(UpstreamAttempt ended, int status) {
        sends++;
        services.metrics().rejected();
        String cause = "rejected with status " + status;
        if (!tryAnother(cause)) {
            giveUp(cause);
        }
    }

    @Override
    public void onBegan(UpstreamAttempt began) {
        mayHaveRun = true;
        if (!counted) {
            counted = true;
            request.account().ifPresent(account -> services.usage().recordStart(account.name()));
        }
    }

    @Override
    public void onAnswer(UpstreamAttempt ended, HttpResponse head, byte[] body) {
        sends++;
        boolean broken = head.getCode() >= SERVER_ERROR;
        if (broken) {
            upstreamFailed(ended, "status " + head.getCode());
            if (request.repeatRule().allowsAnotherRun(headSent) && tryAnother("status " + head.getCode())) {
                return;
            }
        } else {
            ended.upstream().succeeded();
        }
        if (headSent) {
            breakOff("status " + head.getCode() + " instead of the rest of the stream");
            return;
        }
        caller.respond(head.getCode(), head.getReasonPhrase(), HeaderRules.endToEnd(head), body);
        finish(EventCode.REQUEST_COMPLETED, "completed", "status " + head.getCode());
    }

    @Override
    public void onEvents(UpstreamAttempt current, HttpResponse head, byte[] events, String lastId) {
        if (!headSent) {
            headSent = true;
            services.metrics().firstEvent(services.timeSource().monotonicMs() - request.receivedMs());
            caller.begin(head.getCode(), head.getReasonPhrase(), HeaderRules.endToEnd(head), ServerExchange.CHUNKED);
        }
        if (!lastId.isEmpty()) {
            lastEventId = lastId;
        }
        caller.write(UpstreamAttempt.buffer(events));
    }

    @Override
    public void onStreamEnd(UpstreamAttempt ended, HttpResponse head, byte[] rest) {
        sends++;
        ended.upstream().succeeded();
        if (!headSent) {
            headSent = true;
            onBegan(ended);
            caller.begin(head.getCode(), head.getReasonPhrase(), HeaderRules.endToEnd(head), ServerExchange.CHUNKED);
        }
        if (rest.length > 0) {
            caller.write(UpstreamAttempt.buffer(rest));
        }
        caller.end();
        finish(EventCode.REQUEST_COMPLETED, "completed", "stream ended");
    }

    @Override
    public void onLost(UpstreamAttempt ended, String cause) {
        sends++;
        mayHaveRun = true;
        services.metrics().lost();
        upstreamFailed(ended, cause);
        if (ended.isReusedConnection()) {
            ended.upstream().pool().discardIdle();
        }
        if (request.repeatRule().allowsAnotherRun(headSent) && tryAnother(cause)) {
            return;
        }
        if (headSent) {
            breakOff(cause);
        } else {
            fail(OwnAnswer.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        }
    }

    private void upstreamFailed(UpstreamAttempt ended, String cause) {
        if (ended.upstream().failed(services.timeSource().monotonicMs())) {
            services.log()
                    .record(
                            EventCode.UPSTREAM_UNHEALTHY,
                            ended.upstream().entry().id(),
                            "cause",
                            cause);
        }
    }

    /** Ends a request that no upstream took: refused if it certainly did not run. */
    private void giveUp(String cause) {
        if (headSent) {
            breakOff(cause);
        } else if (mayHaveRun) {
            fail(OwnAnswer.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, cause), cause);
        } else {
            finish(EventCode.REQUEST_REFUSED, "refused", cause);
            OwnAnswer.notRun(ErrorCode.NO_UPSTREAM, RETRY_AFTER_MS, request.service())
                    .send(caller, request.attemptId());
        }
    }

    private void fail(OwnAnswer answer, String cause) {
        finish(EventCode.REQUEST_FAILED, "failed", cause);
        answer.send(caller, request.attemptId());
    }

    private void breakOff(String cause) {
        finish(EventCode.REQUEST_FAILED, "broken_off", cause);
        caller.abort();
    }

    private void onTimeout() {
        if (finished) {
            return;
        }
        boolean sent = attempt != null && attempt.isSent() || mayHaveRun;
        if (attempt != null) {
            attempt.cancel();
        }
        if (headSent) {
            breakOff("time limit");
        } else if (sent) {
            fail(
                    OwnAnswer.outcomeUnknown(ErrorCode.UPSTREAM_TIMEOUT, request.endMs() - request.receivedMs()),
                    "time limit");
        } else {
            giveUp("time limit before an upstream was reached");
        }
    }

    private void onCallerGone() {
        if (!finished) {
            finish(EventCode.REQUEST_ABANDONED, "abandoned", "caller disconnected");
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    private void finish(EventCode code, String outcome, String cause) {
        finished = true;
        timer.cancel(false);
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        long elapsedMs = services.timeSource().monotonicMs() - request.receivedMs();
        services.metrics().ended(outcome, elapsedMs);
        if (sampled || code != EventCode.REQUEST_COMPLETED || sends > 1) {
            services.log()
                    .record(
                            code,
                            request.attemptId(),
                            "route",
                            request.route().name(),
                            "cause",
                            cause,
                            "sends",
                            sends,
                            "elapsed_ms",
                            elapsedMs,
                            "upstreams",
                            String.join(",", tried),
                            "priority",
                            request.priority(),
                            "directory_age_ms",
                            services.table().ageMs());
        }
    }
}
