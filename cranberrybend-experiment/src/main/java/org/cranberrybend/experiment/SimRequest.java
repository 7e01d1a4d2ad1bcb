package org.cranberrybend.experiment;

import java.util.HashSet;
import java.util.Set;

/** A request of the model with its progress. Times are milliseconds of simulated time. */
final class SimRequest {
    /** States of a request. */
    enum State {
        WAITING,
        SENT,
        COMPLETED,
        REFUSED,
        GIVEN_UP,
        FAILED
    }

    final int number;
    final ClassSpec spec;
    final String account;
    final String zone;
    final long arrivalMs;
    final double promptTokens;
    /** Output tokens that the engine will produce; unknown to the policies. */
    final double outputTokens;

    final Set<String> excluded = new HashSet<>();
    State state = State.WAITING;
    EngineModel engine;
    String slotId;
    long sentMs;
    /** First token as the caller saw it, or -1. */
    double firstTokenMs = -1;
    /** First token of the present attempt, or -1. */
    double attemptFirstTokenMs = -1;

    double endMs = -1;
    /** Times that an engine or service received the request. */
    int runs;

    int failures;
    /** Tokens delivered before the present attempt. */
    double attemptStartTokens;

    double deliveredTokens;
    double prefillLeft;
    /** Tokens that engines processed for this request, over all attempts. */
    double processedTokens;

    double preemptibleTokens;
    /** Output tokens reported with releases; must equal those delivered. */
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

    /** Returns a request with the same arrival and no progress, for another policy. */
    SimRequest fresh() {
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

    /** Returns whether the answer was complete and within both targets of its class. */
    boolean isAttained() {
        if (state != State.COMPLETED
                || firstTokenMs - arrivalMs > spec.requestClass().firstTokenTargetMs()) {
            return false;
        }
        return !isEngineWork()
                || (endMs - firstTokenMs) / Math.max(1, outputTokens - 1)
                        <= spec.requestClass().interTokenTargetMs();
    }

    /** Returns processed tokens that were of no use to the caller. */
    double wastedTokens() {
        double useful = state == State.COMPLETED ? totalTokens() : 0;
        return Math.max(0, processedTokens - useful);
    }
}
