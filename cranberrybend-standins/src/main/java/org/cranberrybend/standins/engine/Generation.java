package org.cranberrybend.standins.engine;

import java.util.concurrent.TimeUnit;

/** Progress of one request inside the engine. Its state changes under its own lock. */
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

    /** Returns the order of arrival, which decides between requests of equal priority. */
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

    /** Returns whether the interval since the last check of the caller is over, and starts the next one if so. */
    synchronized boolean isCallerCheckDue(long intervalNs) {
        long nowNs = System.nanoTime();
        boolean due = nowNs - lastCallerCheckNs >= intervalNs;
        lastCallerCheckNs = due ? nowNs : lastCallerCheckNs;
        return due;
    }

    /** Returns the tokens that the request holds in the engine's KV cache. */
    synchronized long kvTokens() {
        return (long) request.text().promptTokens() + request.resumeFrom() + generatedTokens;
    }

    /** Waits until a reading of {@link System#nanoTime()} or a cancellation. */
    synchronized void awaitUntil(long deadlineNs) throws InterruptedException {
        long remainingNs = deadlineNs - System.nanoTime();
        while (remainingNs > 0 && !cancelled) {
            TimeUnit.NANOSECONDS.timedWait(this, remainingNs);
            remainingNs = deadlineNs - System.nanoTime();
        }
    }
}
