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
 * The attempts of one request: acquires slots, excludes upstreams that failed, and decides on retries. No other layer
 * retries.
 */
final class Attempts {
    // A streamed token is one server-sent event of about this size.
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
    private boolean outcomeUnknown;
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
     * @throws RequestFailedException if no zone grants a slot; its run state covers all earlier attempts
     */
    AcquiredSlot acquire() throws RequestFailedException, CallAbortedException, InterruptedException {
        long queuedMs = environment.timeSource().monotonicMs();
        if (attemptsMade == 0) {
            environment.metrics().recordAddedLatency(context.ageMicros());
        }
        context.record(EventCode.REQUEST_QUEUED, Map.of("service", context.service(), "attempt", attemptsMade + 1));
        SlotGrant grant = acquireInAnyZone();
        attemptsMade++;
        long nowMs = environment.timeSource().monotonicMs();
        context.record(
                EventCode.REQUEST_DISPATCHED,
                Map.of("upstream", grant.upstream().id(), "attempt", attemptsMade, "waited_ms", nowMs - queuedMs));
        context.markSent();
        LinkCharge charge =
                environment.zones().charge(grant.upstream(), estimateLinkBytes(promptTokens, expectedOutputTokens));
        return new AcquiredSlot(environment.broker(), grant, environment.timeSource(), charge);
    }

    private SlotGrant acquireInAnyZone() throws RequestFailedException, CallAbortedException, InterruptedException {
        RequestFailedException refusal = null;
        long expectedBytes = estimateLinkBytes(promptTokens, expectedOutputTokens);
        try {
            for (String zone : environment.zones().zonesFor(context.service(), expectedBytes)) {
                try {
                    return environment.broker().acquire(toQueuedRequest(), zone, context::isAborted);
                } catch (RequestFailedException e) {
                    context.checkNotAborted();
                    // The nearest zone's refusal has the most relevant retry-after time.
                    refusal = refusal == null ? e : refusal;
                }
            }
        } catch (RequestFailedException e) {
            refusal = e;
        }
        throw lastFailure == null ? refusal : toCallerError(lastFailure);
    }

    /** Estimates the bytes of a request and its response on the inter-region link. */
    static long estimateLinkBytes(long promptTokens, long outputTokens) {
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

    /** Records a failed attempt and returns whether to retry. If so, it has waited for the backoff. */
    boolean prepareRetry(AcquiredSlot slot, UpstreamFailure failure, EventCode code) throws InterruptedException {
        excluded.add(slot.upstream().id());
        outcomeUnknown |= !failure.isNotRun();
        lastFailure = failure;
        OptionalLong delayMs = environment
                .policy()
                .nextDelayMs(
                        attemptsMade,
                        environment.nextJitter(),
                        environment.timeSource().monotonicMs(),
                        deadlineMs);
        if (delayMs.isEmpty()
                || !environment.budgets().tryAcquire(context.requestClass().name())) {
            return false;
        }
        context.record(
                code,
                Map.of(
                        "failed_upstream",
                        slot.upstream().id(),
                        "reason",
                        failure.getMessage(),
                        "attempt",
                        attemptsMade));
        TimeUnit.MILLISECONDS.sleep(delayMs.getAsLong());
        return true;
    }

    void recordSuccess() {
        environment.budgets().recordSuccess(context.requestClass().name());
    }

    /** Returns the caller's error after the last attempt; {@code not_run} only if no attempt can have been executed. */
    RequestFailedException toCallerError(UpstreamFailure failure) {
        if (outcomeUnknown && failure.isNotRun()) {
            return RequestFailedException.outcomeUnknown(ErrorCode.UPSTREAM_FAILED, failure.getMessage());
        }
        return failure.toCallerError();
    }
}
