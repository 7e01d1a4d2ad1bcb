package org.cranberrybend.router.dispatch;

import java.util.function.DoubleSupplier;
import org.cranberrybend.core.retry.RetryPolicy;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.meter.RouterMetrics;
import org.cranberrybend.router.route.ZoneCandidates;

/** What all dispatches of a router share. */
public final class DispatchEnvironment {
    private final SlotBroker broker;
    private final ZoneCandidates zones;
    private final TimeSource timeSource;
    private final DoubleSupplier jitter;
    private final RouterMetrics metrics;
    private final long readTimeoutMs;
    private final UpstreamPool pool;
    private final UpstreamClient client;
    private final RetryBudgets budgets = new RetryBudgets();

    /**
     * Creates the environment.
     *
     * @param jitter random numbers between 0 (inclusive) and 1 (exclusive) for the backoff
     * @param connectTimeoutMs bound on connecting to an upstream, in milliseconds
     * @param readTimeoutMs time without a byte after which an upstream is given up, in milliseconds
     */
    public DispatchEnvironment(
            SlotBroker broker,
            ZoneCandidates zones,
            TimeSource timeSource,
            DoubleSupplier jitter,
            RouterMetrics metrics,
            long connectTimeoutMs,
            long readTimeoutMs) {
        this.broker = broker;
        this.zones = zones;
        this.timeSource = timeSource;
        this.jitter = jitter;
        this.metrics = metrics;
        this.readTimeoutMs = readTimeoutMs;
        this.pool = new UpstreamPool(timeSource, connectTimeoutMs);
        this.client = new UpstreamClient(pool);
    }

    SlotBroker broker() {
        return broker;
    }

    ZoneCandidates zones() {
        return zones;
    }

    TimeSource timeSource() {
        return timeSource;
    }

    double nextJitter() {
        return jitter.getAsDouble();
    }

    RouterMetrics metrics() {
        return metrics;
    }

    long readTimeoutMs() {
        return readTimeoutMs;
    }

    UpstreamClient client() {
        return client;
    }

    RetryBudgets budgets() {
        return budgets;
    }

    RetryPolicy policy() {
        return RetryPolicy.DEFAULT;
    }

    /** Closes the connections to upstreams that were idle for too long. */
    public void dropIdleConnections() {
        pool.dropOld();
    }

    /** Closes all idle connections to upstreams. */
    public void close() {
        pool.closeAll();
    }
}
