package org.cranberrybend.standins.engine;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.standins.engine.SlotTable.Load;
import org.cranberrybend.standins.server.CallerConnection;
import org.cranberrybend.standins.server.StandinFault;
import org.cranberrybend.standins.server.StandinFault.Mode;
import org.cranberrybend.standins.server.UpstreamControls;

/**
 * Executes requests in the slots of the batch at the configured token rates. The rate of a request does not depend on
 * the number of other requests in the batch.
 */
final class BatchExecutor {
    private static final long DISCONNECT_CHECK_INTERVAL_MS = 20;
    private static final double NS_PER_SECOND = 1e9;
    private static final double NS_PER_MS = 1e6;
    private static final long DEFAULT_SLOW_FACTOR = 4;

    private final EngineSettings settings;
    private final UpstreamControls controls;
    private final EngineCounters counters;
    private final SlotTable slots;
    private final LoadHistory loadHistory;
    private final AtomicLong lastSequence = new AtomicLong();

    /** Receives the tokens of one request. */
    @FunctionalInterface
    interface TokenSink {
        /** Accepts a token; an exception means that the caller has disconnected. */
        void accept(String token) throws IOException;
    }

    BatchExecutor(EngineSettings settings, TimeSource time, UpstreamControls controls, EngineCounters counters) {
        this.settings = settings;
        this.controls = controls;
        this.counters = counters;
        this.slots = new SlotTable(settings.slots());
        this.loadHistory = new LoadHistory(time, settings.loadLagMs());
    }

    Load laggedLoad() {
        return loadHistory.lagged();
    }

    int cancel(String requestId) {
        return slots.cancel(requestId);
    }

    /**
     * Waits for a slot and generates all tokens of a request.
     *
     * @param fault fault that was active when the request was received
     * @throws IOException if the caller disconnected, the request was cancelled, or an injected fault ended it; the
     *     connection is closed
     */
    void run(CompletionRequest request, StandinFault fault, CallerConnection connection, TokenSink sink)
            throws IOException {
        Generation generation = new Generation(request, lastSequence.incrementAndGet());
        boolean endedByFault = false;
        boolean complete = false;
        slots.submit(generation);
        loadHistory.add(slots.load());
        try {
            while (!slots.awaitSlot(generation, DISCONNECT_CHECK_INTERVAL_MS)) {
                checkCaller(generation, connection);
            }
            endedByFault = generate(generation, fault, connection, sink);
            complete = !endedByFault;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw UpstreamControls.abort(connection, "interrupted by the shutdown of the server");
        } finally {
            slots.release(generation);
            loadHistory.add(slots.load());
            if (!complete) {
                recordUnfinished(generation, endedByFault || connection.isStalled());
            }
        }
        if (endedByFault) {
            throw UpstreamControls.abort(connection, "response truncated by an injected fault");
        }
        counters.recordCompletion();
    }

    private void recordUnfinished(Generation generation, boolean fault) {
        if (fault) {
            counters.recordInterruptedTokens(generation.generatedTokens());
        } else {
            counters.recordWastedTokens(generation.generatedTokens());
        }
    }

    /** Returns whether an injected fault ended the generation early. */
    private boolean generate(Generation generation, StandinFault fault, CallerConnection connection, TokenSink sink)
            throws IOException, InterruptedException {
        CompletionRequest request = generation.request();
        int contextTokens = request.text().promptTokens() + request.resumeFrom();
        counters.recordPrefill(contextTokens);
        long nextNs = System.nanoTime()
                + (long) (contextTokens / settings.prefillTokensPerS() * NS_PER_SECOND * slowFactor());
        for (int i = request.resumeFrom(); i < request.outputTokens(); i++) {
            nextNs += (long) (settings.decodeMsPerToken() * NS_PER_MS * slowFactor());
            awaitToken(generation, connection, nextNs);
            generation.recordToken();
            counters.recordToken();
            sink.accept(request.text().token(i));
            if (fault.mode() == Mode.CUT_AFTER_TOKENS && generation.generatedTokens() >= fault.value()) {
                return true;
            }
        }
        return false;
    }

    private double slowFactor() {
        StandinFault now = controls.fault();
        if (now.mode() != Mode.SLOW) {
            return 1;
        }
        return now.value() < 0 ? DEFAULT_SLOW_FACTOR : now.value();
    }

    private void awaitToken(Generation generation, CallerConnection connection, long deadlineNs)
            throws IOException, InterruptedException {
        long intervalNs = TimeUnit.MILLISECONDS.toNanos(DISCONNECT_CHECK_INTERVAL_MS);
        while (deadlineNs - System.nanoTime() > intervalNs) {
            generation.awaitUntil(System.nanoTime() + intervalNs);
            checkCaller(generation, connection);
        }
        generation.awaitUntil(deadlineNs);
        if (generation.isCancelled() || connection.isStalled() || generation.isCallerCheckDue(intervalNs)) {
            checkCaller(generation, connection);
        }
    }

    /**
     * Aborts the request if its caller disconnected or it was cancelled. On a stalled connection, blocks
     * until the caller disconnects.
     */
    private void checkCaller(Generation generation, CallerConnection connection) throws IOException {
        if (connection.isStalled()) {
            connection.awaitDisconnect();
        }
        if (generation.isCancelled()) {
            throw UpstreamControls.abort(connection, "cancelled");
        }
        if (connection.isDisconnected()) {
            throw UpstreamControls.abort(connection, "the caller disconnected");
        }
    }
}
