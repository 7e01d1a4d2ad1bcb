package org.cranberrybend.entry.request;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.OccupancyReader;
import org.cranberrybend.entry.upstream.RateLimiter;
import org.cranberrybend.entry.upstream.SendLimits;
import org.cranberrybend.entry.upstream.UpstreamEligibility;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.WithheldUpstreams;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.cranberrybend.entry.usage.UsageCounter;

/** Creates and connects the components that handle callers' requests. */
public final class RequestPath {
    private final RequestRouter router;
    private final RequestsInProgress requests = new RequestsInProgress();
    private final WarmUpLimiter warmUp;

    /**
     * Creates the components of one process.
     *
     * @param instances largest number of instances known to serve at the same time; 0 if unknown
     * @param roster registered instances, which share the requests to upstreams whose rate is limited
     */
    public RequestPath(
            EntrySettings settings,
            EventLoopGroup loop,
            TimeSource timeSource,
            HeaderNames names,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            ZoneEvacuations evacuations,
            QuarantineService quarantine,
            UsageCounter usage,
            DecisionLog log,
            IntSupplier instances,
            SenderRoster roster,
            MetricRegistry metrics) {
        warmUp =
                new WarmUpLimiter(settings.instance(), roster, settings.warmUpOvershoot(), settings.warmUpSlack(), log);
        configuration.current().ifPresent(warmUp::configure);
        configuration.onChange(warmUp::configure);
        RateLimiter rateLimiter = new RateLimiter(settings.instance(), roster, settings.rateLimitBound());
        SendLimits limits = new SendLimits(warmUp, rateLimiter);
        WithheldUpstreams withheld = new WithheldUpstreams(upstreams, limits, timeSource);
        UpstreamEligibility eligibility = new UpstreamEligibility(settings.regionsByZone(), evacuations, limits);
        UpstreamSelector selector = new UpstreamSelector(
                upstreams,
                eligibility,
                settings.zone(),
                settings.regionsByZone(),
                instances,
                new SplittableRandom(RendezvousHash.hash(settings.instance(), Long.toString(timeSource.wallMs()))));
        ServiceRetryBudget budget =
                new ServiceRetryBudget(settings.retryRatio(), settings.retryAllowance(), instances, timeSource);
        WaitingRequests waiting = new WaitingRequests(loop, timeSource);
        configuration.onChange(upstreams.serviceModels()::apply);
        metrics.gauge("engine_services_learned", () -> upstreams.serviceModels()::learnedCount);
        metrics.gauge("placements_moved_by_cost", () -> selector::placementsMovedByCost);
        metrics.gauge("placements_outside_group", () -> selector::placementsOutsideGroup);
        metrics.gauge("requests_waiting", () -> waiting::count);
        OverloadAdmission overload = new OverloadAdmission(new OccupancyReader(upstreams, eligibility));
        metrics.gauge("requests_waiting_for_room", () -> overload::count);
        metrics.gauge("upstreams_paused", () -> withheld::pausedCount);
        metrics.gauge("zones_evacuated", () -> () -> evacuations.state().zones().size());
        metrics.gauge(
                "requests_in_evacuated_zones",
                () -> () -> upstreams.runningIn(evacuations.state().zones()));
        evacuations.addListener(zoneListener(upstreams, warmUp));
        metrics.gauge("upstreams_warming_up", () -> () -> withheld.limitedCount(warmUp));
        metrics.gauge("warm_up_sends", () -> warmUp::sentCount);
        metrics.gauge("upstreams_rate_limited", () -> () -> withheld.limitedCount(rateLimiter));
        metrics.gauge("rate_limited_sends", () -> rateLimiter::sentCount);
        RequestServices services = new RequestServices(
                loop,
                timeSource,
                names,
                configuration,
                upstreams,
                eligibility,
                selector,
                quarantine,
                budget,
                usage,
                log,
                new RequestMetrics(metrics),
                requests,
                waiting,
                overload,
                limits,
                warmUp,
                withheld);
        overload.connect(services);
        router = new RequestRouter(configuration, services);
    }

    private static ZoneEvacuations.Listener zoneListener(UpstreamTable upstreams, WarmUpLimiter warmUp) {
        return new ZoneEvacuations.Listener() {
            @Override
            public void onEvacuated(String zone) {
                upstreams.keepConnections(zone, false);
            }

            @Override
            public void onReturned(String zone, long revision) {
                upstreams.keepConnections(zone, true);
                upstreams.markWarmingUp(zone, revision, warmUp);
            }
        };
    }

    /** Returns the requests in progress. */
    public RequestsInProgress requests() {
        return requests;
    }

    /** Returns what limits the requests to upstreams that are warming up. */
    public WarmUpLimiter warmUp() {
        return warmUp;
    }

    /** Returns the handler of callers' requests. */
    public RequestHandler handler() {
        return router;
    }
}
