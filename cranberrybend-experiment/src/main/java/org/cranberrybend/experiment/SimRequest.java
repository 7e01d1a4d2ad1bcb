package org.cranberrybend.experiment;

import java.util.HashSet;
import java.util.Set;

/** A simulated request and its progress. Times are milliseconds of simulated time. */
final class SimRequest {
    /** States of a request. */
    enum State {
        WAITING,
        SENT,
        COMPLETED,
        REFUSED,
        DISCONNECTED,
        FAILED
    }

    final int number;
    final ClassSpec spec;
    final String account;
    final String zone;
    final long arrivalMs;
    final double promptTokens;
    /** Output tokens that the engine will generate; not known to the policies. */
    final double outputTokens;

    final Set<String> excluded = new HashSet<>();
    State state = State.WAITING;
    EngineModel engine;
    String slotId;
    long sentMs;
    /** Time at which the caller received the first token, or -1. */
    double firstTokenMs = -1;
    /** Time of the first token of the current attempt, or -1. */
    double attemptFirstTokenMs = -1;

    double endMs = -1;
    /** Number of attempts that an engine or service accepted. */
    int executions;

    int failures;
    /** Tokens delivered before the current attempt. */
    double attemptStartTokens;

    double deliveredTokens;
    double remainingPrefillTokens;
    /** Prompt and output tokens that engines processed for this request, over all attempts. */
    double processedTokens;

    double preemptibleTokens;
    /** Output tokens billed over all attempts; must equal the tokens delivered. */
    double billedTokens;

    SimRequest(
            int number,
            ClassSpec spec,
            String account,
            String zone,
            long arrivalMs,
            double promptTokens,
            double outputTokens) {
        this.number = number;
        this.spec = spec;
        this.account = account;
        this.zone = zone;
        this.arrivalMs = arrivalMs;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
    }

    /** Returns a copy with the same arrival and no progress, for a run with another policy. */
    SimRequest copyWithoutProgress() {
        return new SimRequest(number, spec, account, zone, arrivalMs, promptTokens, outputTokens);
    }

    String id() {
        return "r" + number;
    }

    boolean isEngineWork() {
        return promptTokens > 0;
    }

    double totalTokens() {
        return isEngineWork() ? promptTokens + outputTokens : 0;
    }

    /** Returns whether the response was complete and met both latency targets of its class. */
    boolean isAttained() {
        if (state != State.COMPLETED
                || firstTokenMs - arrivalMs > spec.requestClass().firstTokenTargetMs()) {
            return false;
        }
        return !isEngineWork()
                || (endMs - firstTokenMs) / Math.max(1, outputTokens - 1)
                        <= spec.requestClass().interTokenTargetMs();
    }

    /** Returns the processed tokens beyond those of a completed response: repeated work and unfinished responses. */
    double wastedTokens() {
        double useful = state == State.COMPLETED ? totalTokens() : 0;
        return Math.max(0, processedTokens - useful);
    }
}
