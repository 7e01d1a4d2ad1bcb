package org.cranberrybend.entry.request;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.usage.UsageCounter;

/** Puts together what handles requests. */
public final class RequestPath {
    /** Instances assumed to share the budget of repeats; more than run today, so that none oversteps it. */
    private static final int ASSUMED_INSTANCES = 10;

    private final RequestRouter router;

    /** Creates the path of the requests of one process. */
    public RequestPath(
            EntrySettings settings,
            EventLoopGroup loop,
            TimeSource timeSource,
            HeaderNames names,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            UsageCounter usage,
            DecisionLog log,
            MetricRegistry metrics) {
        UpstreamSelector selector = new UpstreamSelector(upstreams, settings.zone(), settings.regionsByZone());
        ServiceRetryBudget budget =
                new ServiceRetryBudget(settings.retryRatio(), settings.retryAllowance(), () -> ASSUMED_INSTANCES);
        router = new RequestRouter(
                configuration,
                new RequestServices(
                        loop, timeSource, names, upstreams, selector, budget, usage, log, new RequestMetrics(metrics)));
    }

    /** Returns the handler of callers' requests. */
    public RequestHandler handler() {
        return router;
    }
}
