package org.cranberrybend.core.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * A model of an engine: each iteration prefills up to one chunk of prompt tokens in the order of arrival and generates
 * one token for each running request whose prefill is complete. Requests beyond the slots wait.
 */
final class SimulatedEngine {
    private static final int CHUNK_TOKENS = 4_096;

    /** A request at the engine. Times are in milliseconds. */
    static final class Job {
        final double sentMs;
        final int promptTokens;
        final int outputTokens;
        double firstEventMs = -1;
        double lastEventMs;
        double longestPauseMs;
        int events;
        int promptLeft;

        Job(double sentMs, int promptTokens, int outputTokens) {
            this.sentMs = sentMs;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.promptLeft = promptTokens;
        }

        boolean isComplete() {
            return events >= outputTokens;
        }

        double meanEventMs() {
            return events < 3 ? 0 : (lastEventMs - firstEventMs - longestPauseMs) / (events - 2);
        }
    }

    final int slots;
    private final double stepMs;
    private final double stepMsPerRequest;
    private final double tokensPerMs;
    /** Ratio of the time that work takes to the normal time, by the time of day. */
    private final DoubleUnaryOperator slowdown;
    /** Whether each prompt in prefill receives a chunk in each iteration, rather than one in all. */
    private final boolean chunkForEach;

    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private double nowMs;

    SimulatedEngine(
            int slots, double stepMs, double stepMsPerRequest, double tokensPerMs, DoubleUnaryOperator slowdown) {
        this(slots, stepMs, stepMsPerRequest, tokensPerMs, slowdown, false);
    }

    SimulatedEngine(
            int slots,
            double stepMs,
            double stepMsPerRequest,
            double tokensPerMs,
            DoubleUnaryOperator slowdown,
            boolean chunkForEach) {
        this.chunkForEach = chunkForEach;
        this.slots = slots;
        this.stepMs = stepMs;
        this.stepMsPerRequest = stepMsPerRequest;
        this.tokensPerMs = tokensPerMs;
        this.slowdown = slowdown;
    }

    int requests() {
        return running.size() + waiting.size();
    }

    double slowdownAt(double timeMs) {
        return slowdown.applyAsDouble(timeMs);
    }

    void add(Job job) {
        nowMs = Math.max(nowMs, job.sentMs);
        waiting.add(job);
    }

    /** Executes iterations up to a time; returns the requests that were completed. */
    List<Job> runUntil(double untilMs) {
        List<Job> completed = new ArrayList<>();
        while (nowMs < untilMs && requests() > 0) {
            iterate(completed);
        }
        return completed;
    }

    private void iterate(List<Job> completed) {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        int chunk = CHUNK_TOKENS;
        int prefilled = 0;
        int decoding = 0;
        for (Job job : running) {
            int tokens = Math.min(chunk, job.promptLeft);
            job.promptLeft -= tokens;
            prefilled += tokens;
            chunk -= chunkForEach ? 0 : tokens;
            decoding += job.promptLeft == 0 ? 1 : 0;
        }
        double normalMs = prefilled / tokensPerMs + stepMs + stepMsPerRequest * decoding;
        nowMs += normalMs * slowdown.applyAsDouble(nowMs);
        for (Iterator<Job> jobs = running.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            if (job.promptLeft > 0) {
                continue;
            }
            if (job.events == 0) {
                job.firstEventMs = nowMs;
            } else {
                job.longestPauseMs = Math.max(job.longestPauseMs, nowMs - job.lastEventMs);
            }
            job.lastEventMs = nowMs;
            job.events++;
            if (job.isComplete()) {
                jobs.remove();
                completed.add(job);
            }
        }
    }
}
