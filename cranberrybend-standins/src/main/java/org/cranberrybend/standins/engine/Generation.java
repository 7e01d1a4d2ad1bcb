package org.cranberrybend.standins.engine;

import java.util.concurrent.TimeUnit;

/** Progress of one request in the engine. The state is guarded by the lock of this object. */
final class Generation {
    private final CompletionRequest request;
    private final long sequence;
    private boolean cancelled;
    private int generatedTokens;
    private long lastCallerCheckNs = System.nanoTime();

    Generation(CompletionRequest request, long sequence) {
        this.request = request;
        this.sequence = sequence;
    }

    CompletionRequest request() {
        return request;
    }

    /** Returns the arrival sequence number, which orders requests of equal priority. */
    long sequence() {
        return sequence;
    }

    synchronized void cancel() {
        cancelled = true;
        notifyAll();
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    synchronized void recordToken() {
        generatedTokens++;
    }

    synchronized int generatedTokens() {
        return generatedTokens;
    }

    /** Returns whether the interval since the last caller check has passed, and starts the next interval if so. */
    synchronized boolean isCallerCheckDue(long intervalNs) {
        long nowNs = System.nanoTime();
        boolean due = nowNs - lastCallerCheckNs >= intervalNs;
        lastCallerCheckNs = due ? nowNs : lastCallerCheckNs;
        return due;
    }

    /** Returns the number of tokens that the request occupies in the KV cache. */
    synchronized long kvTokens() {
        return (long) request.text().promptTokens() + request.resumeFrom() + generatedTokens;
    }

    /** Waits until {@link System#nanoTime()} reaches the deadline or the request is cancelled. */
    synchronized void awaitUntil(long deadlineNs) throws InterruptedException {
        long remainingNs = deadlineNs - System.nanoTime();
        while (remainingNs > 0 && !cancelled) {
            TimeUnit.NANOSECONDS.timedWait(this, remainingNs);
            remainingNs = deadlineNs - System.nanoTime();
        }
    }
}
