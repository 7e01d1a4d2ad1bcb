package org.cranberrybend.router.dispatch;

import java.util.function.DoubleSupplier;
import org.cranberrybend.core.retry.RetryPolicy;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.meter.RouterMetrics;
import org.cranberrybend.router.route.ZoneCandidates;

/** Dependencies and settings shared by all dispatches of a router. */
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
     * @param connectTimeoutMs timeout for connecting to an upstream, in milliseconds
     * @param readTimeoutMs time without a received byte after which a call to an upstream fails, in milliseconds
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

    /** Closes the connections to upstreams that exceeded the maximum idle time. */
    public void closeExpiredConnections() {
        pool.closeExpired();
    }

    /** Closes all idle connections to upstreams. */
    public void close() {
        pool.closeAll();
    }
}
