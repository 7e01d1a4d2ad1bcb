package org.cranberrybend.entry.request;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.UpstreamEligibility;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.usage.UsageCounter;

/** Creates and connects the components that handle callers' requests. */
public final class RequestPath {
    private final RequestRouter router;
    private final RequestsInProgress requests = new RequestsInProgress();

    /**
     * Creates the components of one process.
     *
     * @param instances largest number of instances known to serve at the same time; 0 if unknown
     */
    public RequestPath(
            EntrySettings settings,
            EventLoopGroup loop,
            TimeSource timeSource,
            HeaderNames names,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            QuarantineService quarantine,
            UsageCounter usage,
            DecisionLog log,
            IntSupplier instances,
            MetricRegistry metrics) {
        UpstreamSelector selector = new UpstreamSelector(
                upstreams,
                new UpstreamEligibility(),
                settings.zone(),
                settings.regionsByZone(),
                instances,
                new SplittableRandom(RendezvousHash.hash(settings.instance(), Long.toString(timeSource.wallMs()))));
        ServiceRetryBudget budget = new ServiceRetryBudget(settings.retryRatio(), settings.retryAllowance(), instances);
        WaitingRequests waiting = new WaitingRequests(loop, timeSource);
        configuration.onChange(upstreams.serviceModels()::apply);
        metrics.gauge("engine_services_learned", () -> upstreams.serviceModels()::learnedCount);
        metrics.gauge("placements_moved_by_cost", () -> selector::placementsMovedByCost);
        metrics.gauge("placements_outside_group", () -> selector::placementsOutsideGroup);
        metrics.gauge("requests_waiting", () -> waiting::count);
        metrics.gauge("upstreams_paused", () -> upstreams::pausedCount);
        router = new RequestRouter(
                configuration,
                new RequestServices(
                        loop,
                        timeSource,
                        names,
                        upstreams,
                        selector,
                        quarantine,
                        budget,
                        usage,
                        log,
                        new RequestMetrics(metrics),
                        requests,
                        waiting));
    }

    /** Returns the requests in progress. */
    public RequestsInProgress requests() {
        return requests;
    }

    /** Returns the handler of callers' requests. */
    public RequestHandler handler() {
        return router;
    }
}
