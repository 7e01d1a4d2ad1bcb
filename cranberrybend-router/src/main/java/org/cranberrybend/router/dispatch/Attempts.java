package org.cranberrybend.router.dispatch;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.router.route.LinkCharge;

/**
 * The attempts of one request: waits for slots, excludes upstreams that failed, and decides about retries. It is the
 * only retry layer.
 */
final class Attempts {
    // One streamed token is one server-sent event of about this size.
    private static final long BYTES_PER_OUTPUT_TOKEN = 180;
    private static final long BYTES_PER_PROMPT_TOKEN = 4;
    private static final long BYTES_PER_REQUEST = 2_048;

    private final DispatchEnvironment environment;
    private final RequestContext context;
    private final long promptTokens;
    private final long expectedOutputTokens;
    private final long deadlineMs;
    private final Set<String> excluded = new HashSet<>();
    private int attemptsMade;
    private boolean anyMayHaveRun;
    private UpstreamFailure lastFailure;

    Attempts(
            DispatchEnvironment environment,
            RequestContext context,
            long promptTokens,
            long expectedOutputTokens,
            long deadlineMs) {
        this.environment = environment;
        this.context = context;
        this.promptTokens = promptTokens;
        this.expectedOutputTokens = expectedOutputTokens;
        this.deadlineMs = deadlineMs;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    /**
     * Waits for a slot in the nearest zone that grants one.
     *
     * @throws RequestFailedException if no zone grants a slot; its run state covers the earlier attempts too
     */
    SlotUse acquire() throws RequestFailedException, CallAbortedException, InterruptedException {
        long queuedMs = environment.timeSource().monotonicMs();
        if (attemptsMade == 0) {
            environment.metrics().addedLatency(context.ageMicros());
        }
        context.record(EventCode.REQUEST_QUEUED, Map.of("service", context.service(), "attempt", attemptsMade + 1));
        SlotGrant grant = acquireInAnyZone();
        attemptsMade++;
        long nowMs = environment.timeSource().monotonicMs();
        context.record(
                EventCode.REQUEST_DISPATCHED,
                Map.of("upstream", grant.upstream().id(), "attempt", attemptsMade, "waited_ms", nowMs - queuedMs));
        context.markSent();
        LinkCharge charge = environment.zones().charge(grant.upstream(), linkBytes(promptTokens, expectedOutputTokens));
        return new SlotUse(environment.broker(), grant, environment.timeSource(), charge);
    }

    private SlotGrant acquireInAnyZone() throws RequestFailedException, CallAbortedException, InterruptedException {
        RequestFailedException refusal = null;
        long expectedBytes = linkBytes(promptTokens, expectedOutputTokens);
        try {
            for (String zone : environment.zones().zonesFor(context.service(), expectedBytes)) {
                try {
                    return environment.broker().acquire(toQueuedRequest(), zone, context::isUnwanted);
                } catch (RequestFailedException e) {
                    context.checkWanted();
                    // The refusal of the nearest zone says most about when to come back.
                    refusal = refusal == null ? e : refusal;
                }
            }
        } catch (RequestFailedException e) {
            refusal = e;
        }
        throw lastFailure == null ? refusal : toCallerError(lastFailure);
    }

    /** Returns the estimated bytes of a request and its response on the link between regions. */
    static long linkBytes(long promptTokens, long outputTokens) {
        return BYTES_PER_REQUEST + promptTokens * BYTES_PER_PROMPT_TOKEN + outputTokens * BYTES_PER_OUTPUT_TOKEN;
    }

    private QueuedRequest toQueuedRequest() {
        return new QueuedRequest(
                context.requestId(),
                context.service(),
                context.requestClass(),
                context.caller().account(),
                context.caller().weightRatio(),
                promptTokens,
                expectedOutputTokens,
                context.arrivalMs(),
                deadlineMs,
                excluded);
    }

    /** Records a failed attempt and returns whether another one may be made now, after waiting for the backoff. */
    boolean mayRetry(SlotUse use, UpstreamFailure failure, EventCode code) throws InterruptedException {
        excluded.add(use.upstream().id());
        anyMayHaveRun |= !failure.isNotRun();
        lastFailure = failure;
        OptionalLong delayMs = environment
                .policy()
                .nextDelayMs(
                        attemptsMade,
                        environment.nextJitter(),
                        environment.timeSource().monotonicMs(),
                        deadlineMs);
        if (delayMs.isEmpty()
                || !environment.budgets().tryTake(context.requestClass().name())) {
            return false;
        }
        context.record(
                code,
                Map.of(
                        "failed_upstream",
                        use.upstream().id(),
                        "reason",
                        failure.getMessage(),
                        "attempt",
                        attemptsMade));
        TimeUnit.MILLISECONDS.sleep(delayMs.getAsLong());
        return true;
    }

    void succeeded() {
        environment.budgets().recordSuccess(context.requestClass().name());
    }

    /** Returns the caller's error after the last attempt; {@code not_run} only if no attempt may have run. */
    RequestFailedException toCallerError(UpstreamFailure failure) {
        if (anyMayHaveRun && failure.isNotRun()) {
            return RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, failure.getMessage());
        }
        return failure.toCallerError();
    }
}
