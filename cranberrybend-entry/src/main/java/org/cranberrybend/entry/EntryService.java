package org.cranberrybend.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.duty.DutyLease;
import org.cranberrybend.entry.duty.FleetDirectory;
import org.cranberrybend.entry.duty.FleetDuties;
import org.cranberrybend.entry.duty.FleetKeys;
import org.cranberrybend.entry.duty.OrderDuty;
import org.cranberrybend.entry.duty.UsageDuty;
import org.cranberrybend.entry.duty.UsageFlusher;
import org.cranberrybend.entry.fleet.CrashExchange;
import org.cranberrybend.entry.fleet.FleetRelay;
import org.cranberrybend.entry.fleet.FollowingStore;
import org.cranberrybend.entry.fleet.LoadExchange;
import org.cranberrybend.entry.fleet.RateLimitExchange;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.log.GuardedTask;
import org.cranberrybend.entry.log.LoopDelayMonitor;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.quarantine.QuarantineArchive;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.request.RequestPath;
import org.cranberrybend.entry.request.RequestsInProgress;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.store.CountedStore;
import org.cranberrybend.entry.store.OperatorState;
import org.cranberrybend.entry.store.PrefixWatch;
import org.cranberrybend.entry.upstream.LoadReport;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.cranberrybend.entry.usage.SteadyWallClock;
import org.cranberrybend.entry.usage.UsageCounter;
import org.cranberrybend.runtime.admin.MetricsText;

/**
 * Wires and runs the components of an entry instance on one event loop. Only the loop's thread accesses their state, so
 * they need no locks; the log has its own thread, because writes to standard output may block.
 */
public final class EntryService {
    /** Limits of requests to the internal servers, and of callers before the first configuration. */
    private static final ServerLimits DEFAULT_LIMITS = new ServerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

    /**
     * Interval between reads of the upstreams' changes, as a fraction of the time for which a draining upstream accepts
     * requests. Heartbeats change the entries all the time, and each call of the store is billed.
     */
    private static final double UPSTREAM_BATCH_DELAY_RATIO = 0.2;
    /** Delay of the next watch after a change, so that one call fetches several changes. */
    private static final long FLEET_BATCH_DELAY_MS = 300;
    /** Time for the last usage counts to reach the store before the process exits. */
    private static final long LAST_WRITE_TIMEOUT_MS = 120;

    /** Time for the event loop to record the last event. */
    private static final long LAST_EVENT_TIMEOUT_MS = 200;

    private static final long MAINTENANCE_INTERVAL_MS = 250;
    /** Share of the instance's memory, and of the heap, that responses may use which have not been passed on. */
    private static final MemoryShare RESPONSE_MEMORY = new MemoryShare(0.04, 0.15);

    private final EntrySettings settings;
    private final DecisionLog log;
    private final TimeSource timeSource = TimeSource.system();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer callers;
    private final HttpServer readiness;
    private final RequestsInProgress requests;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final ZoneEvacuations evacuations;
    private final PrefixWatch operatorWatch;
    private final PrefixWatch upstreamWatch;
    private final PrefixWatch fleetWatch;
    private final FleetDirectory directory;
    private final FleetDuties duties;
    private final FleetRelay relay;
    private final CrashExchange crashExchange;
    private final RateLimitExchange rateLimitExchange;
    private final HttpServer control;
    private final HttpServer metricsServer;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean stopping;

    /** Creates the components without starting them. */
    public EntryService(EntrySettings settings, EntryPorts ports, DecisionLog log) {
        this.settings = settings;
        this.log = log;
        MessageMemoryLimit responseMemory = RESPONSE_MEMORY.limit(settings.memoryMb());
        HttpConnector upstreamConnector = new HttpConnector(loop, responseMemory);
        // Calls of the store and of peers must not fail for responses of upstreams, so they have a limit of their own.
        HttpConnector connector = new HttpConnector(loop, RESPONSE_MEMORY.limit(settings.memoryMb()));
        FollowingStore store = new FollowingStore(
                new CountedStore(ports.openStore(loop, connector, settings.storeAddress()), metrics),
                loop,
                connector,
                () -> directory().changeSources(),
                timeSource,
                log);
        StoreKeys keys = ports.storeKeys();
        configuration = new ConfigurationHolder(ports.configurationDecoder(), log);
        upstreams =
                new UpstreamTable(keys.upstreamPrefix(), ports.upstreamDecoder(), upstreamConnector, timeSource, log);
        store.setRelayFilter(keys.upstreamPrefix(), upstreams::isMaterialChange);
        store.setLoadExchange(keys.upstreamPrefix(), loadExchange());
        evacuations = new ZoneEvacuations(log);
        operatorWatch = createOperatorWatch(store, keys);
        long upstreamBatchDelayMs = (long) (settings.upstreamDrainMs() * UPSTREAM_BATCH_DELAY_RATIO);
        upstreamWatch = boundedWatch(store, keys.upstreamPrefix(), upstreamBatchDelayMs, upstreams);
        directory = createDirectory(store);
        // No bound of a request depends on the registrations, so their watch is held for the longest time.
        fleetWatch = watch(store, FleetKeys.FLEET, PrefixWatch.MAX_HOLD_MS, FLEET_BATCH_DELAY_MS, directory);
        SteadyWallClock clock = new SteadyWallClock(timeSource);
        UsageCounter usage = new UsageCounter(settings.usageWindowMs(), clock);
        relay = createRelay(connector, store);
        QuarantineService quarantine =
                new QuarantineService(loop, store, settings.instance(), connector, timeSource, log);
        duties = createDuties(ports, store, connector, usage, clock, quarantine);
        crashExchange = new CrashExchange(
                loop,
                connector,
                quarantine,
                directory::peerAddresses,
                store::isStoreUnavailable,
                timeSource,
                log,
                new Random(RendezvousHash.hash(settings.instance(), "peers")));
        rateLimitExchange = new RateLimitExchange(
                loop,
                connector,
                upstreams.rateLimits(),
                directory::peerAddresses,
                timeSource,
                log,
                new Random(RendezvousHash.hash(settings.instance(), "rate limits")));
        RequestPath path = new RequestPath(
                settings,
                loop,
                timeSource,
                ports.headerNames(),
                configuration,
                upstreams,
                evacuations,
                quarantine,
                usage,
                log,
                directory::maxFleetSize,
                directory.roster(),
                metrics);
        requests = path.requests();
        ServerFactory servers = new ServerFactory(loop, timeSource, settings, metrics, log);
        callers = servers.create(ServerShare.CALLERS, path.handler(), this::callerLimits);
        control = servers.create(ServerShare.CONTROL, instanceHandler(store), () -> DEFAULT_LIMITS);
        metricsServer = servers.create(ServerShare.METRICS, this::serveMetrics, () -> DEFAULT_LIMITS);
        readiness = servers.create(ServerShare.READINESS, this::serveReadiness, () -> DEFAULT_LIMITS);
        registerGauges(responseMemory, quarantine);
    }

    private PrefixWatch createOperatorWatch(FollowingStore store, StoreKeys keys) {
        OperatorState state = new OperatorState(keys, configuration, evacuations, timeSource, log);
        store.setRelayFilter(keys.operatorPrefix(), state::isRelevant);
        return boundedWatch(store, keys.operatorPrefix(), 0, state);
    }

    private FleetDirectory createDirectory(FollowingStore store) {
        return new FleetDirectory(
                store,
                settings.instance(),
                settings.zone(),
                settings.regionsByZone(),
                settings.controlAddress(),
                settings.memoryMb(),
                settings.seeds(),
                store::isFollowed,
                timeSource,
                log);
    }

    private FleetRelay createRelay(HttpConnector connector, FollowingStore store) {
        return new FleetRelay(
                loop,
                connector,
                store,
                configuration,
                upstreams,
                evacuations,
                () -> operatorWatch.isUnavailable() || upstreams.isStoreUnavailable(),
                store::isStoreUnavailable,
                directory,
                timeSource,
                log);
    }

    /** Creates a watch whose changes must be known in time after a failure of the instance's connections. */
    private PrefixWatch boundedWatch(
            KeyValueStore store, String prefix, long batchDelayMs, PrefixWatch.Listener listener) {
        long holdMs = PrefixWatch.holdMs(settings.contactMs(), batchDelayMs);
        return watch(store, prefix, holdMs, batchDelayMs, listener);
    }

    private PrefixWatch watch(
            KeyValueStore store, String prefix, long holdMs, long batchDelayMs, PrefixWatch.Listener listener) {
        return new PrefixWatch(store, prefix, holdMs, batchDelayMs, loop, timeSource, listener);
    }

    private LoadExchange loadExchange() {
        return new LoadExchange() {
            @Override
            public List<LoadReport> recentLoads(long maxAgeMs, boolean receivedHereOnly) {
                return upstreams.loadReports(maxAgeMs, receivedHereOnly);
            }

            @Override
            public void merge(List<LoadReport> reports) {
                upstreams.mergeLoadReports(reports);
            }
        };
    }

    /** Returns the directory; the store's supplier is created before it and called later. */
    private FleetDirectory directory() {
        return directory;
    }

    private RequestHandler instanceHandler(FollowingStore store) {
        return (request, exchange) -> {
            String target = request.head().getRequestUri();
            if (FollowingStore.isFollowerRequest(target)) {
                store.feed().handle(request, exchange);
            } else if (CrashExchange.isExchangeRequest(target)) {
                crashExchange.handle(request, exchange);
            } else if (RateLimitExchange.isExchangeRequest(target)) {
                rateLimitExchange.handle(request, exchange);
            } else {
                relay.handle(request, exchange);
            }
        };
    }

    private FleetDuties createDuties(
            EntryPorts ports,
            KeyValueStore store,
            HttpConnector connector,
            UsageCounter usage,
            SteadyWallClock clock,
            QuarantineService quarantine) {
        DutyLease lease = new DutyLease(store, settings.instance(), settings.leaseMs(), timeSource, log);
        List<Runnable> tasks = new ArrayList<>();
        ports.openUsageReports(loop, connector, settings)
                .ifPresent(reports -> tasks.add(guarded(
                        "usage reports",
                        new UsageDuty(
                                store,
                                reports,
                                lease,
                                clock,
                                settings.usageWindowMs(),
                                settings.usageDueMs(),
                                directory::liveInstances,
                                log)::tick)));
        ports.openUpstreamOrders(loop, connector, settings)
                .ifPresent(orders -> tasks.add(guarded(
                        "upstream orders",
                        new OrderDuty(
                                orders,
                                lease,
                                configuration,
                                upstreams,
                                settings.regionsByZone(),
                                evacuations,
                                () -> directory.liveInstances().size(),
                                timeSource,
                                log)::tick)));
        tasks.add(guarded(
                "quarantine archive", new QuarantineArchive(store, quarantine, lease::isHeld, timeSource, log)::tick));
        UsageFlusher flusher = new UsageFlusher(
                relay::write,
                relay::writeNow,
                usage,
                settings.instance(),
                timeSource.wallMs(),
                () -> directory.liveInstances().size(),
                store.epoch(),
                timeSource);
        return new FleetDuties(directory, lease, flusher, tasks);
    }

    private Runnable guarded(String name, Runnable task) {
        return new GuardedTask(name, task, log);
    }

    private ServerLimits callerLimits() {
        return configuration.current().map(each -> each.callerLimits()).orElse(DEFAULT_LIMITS);
    }

    private boolean isReady() {
        return !stopping && configuration.current().isPresent() && upstreams.isLoaded();
    }

    private void registerGauges(MessageMemoryLimit responseMemory, QuarantineService quarantine) {
        metrics.gauge("prompt_quarantines", () -> () -> quarantine.quarantineCount());
        metrics.gauge("configuration_version", () -> () -> configuration.version());
        metrics.gauge("upstreams_age_ms", () -> () -> upstreams.ageMs());
        metrics.gauge("upstreams_listed", () -> () -> upstreams.all().size());
        metrics.gauge("caller_connections", () -> () -> callers.connectionCount());
        metrics.gauge("requests_in_progress", () -> () -> callers.activeConnectionCount());
        metrics.gauge("response_bytes", () -> () -> responseMemory.usedBytes());
        metrics.gauge(
                "instances_registered", () -> () -> directory.liveInstances().size());
        metrics.gauge("log_lines_dropped", () -> () -> log.droppedLines());
    }

    private void serveMetrics(ReceivedRequest request, ServerExchange exchange) {
        byte[] text = MetricsText.write(metrics).getBytes(StandardCharsets.UTF_8);
        exchange.respond(200, "OK", List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "text/plain")), text);
    }

    private void serveReadiness(ReceivedRequest request, ServerExchange exchange) {
        boolean ready = isReady();
        exchange.respond(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", List.of(), new byte[0]);
    }

    /** Sets what is called on another thread when the event loop has ended, which it does by an error only. */
    public void onLoopEnded(Runnable listener) {
        loop.terminationFuture().addListener(ended -> listener.run());
    }

    /**
     * Starts the watches and listens. The start runs on the event loop, so that only one thread loads classes and reads
     * files at a time.
     */
    public void start() throws InterruptedException, IOException {
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> startOnLoop(started));
        try {
            started.get();
        } catch (ExecutionException e) {
            throw new IOException("cannot listen: " + e.getCause().getMessage(), e);
        }
    }

    private void startOnLoop(CompletableFuture<Void> started) {
        operatorWatch.start();
        upstreamWatch.start();
        fleetWatch.start();
        List<ChannelFuture> listening = List.of(
                metricsServer.listen(settings.metricsAddress()),
                control.listen(settings.controlAddress()),
                callers.listen(settings.callerAddress()),
                readiness.listen(settings.readinessAddress()));
        for (ChannelFuture each : listening) {
            each.addListener(done -> {
                if (!done.isSuccess()) {
                    started.completeExceptionally(done.cause());
                } else if (listening.stream().allMatch(ChannelFuture::isSuccess)) {
                    started.complete(null);
                }
            });
        }
        runPeriodically("upstream expiry", () -> upstreams.removeExpired(timeSource.monotonicMs()));
        runPeriodically("duties", duties::tick);
        runPeriodically("relay", relay::tick);
        runPeriodically("crash exchange", crashExchange::tick);
        runPeriodically("rate limit exchange", rateLimitExchange::tick);
        LoopDelayMonitor loopDelay =
                new LoopDelayMonitor(MAINTENANCE_INTERVAL_MS, settings.instance(), timeSource, log);
        metrics.gauge("event_loop_delay_ms", () -> loopDelay::largestDelayMs);
        runPeriodically("loop delay", loopDelay);
        log.record(EventCode.PROCESS_STARTED, settings.instance(), "zone", settings.zone());
    }

    private void runPeriodically(String name, Runnable task) {
        loop.scheduleWithFixedDelay(
                guarded(name, task), MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Validates the settings file again after a signal and logs the result. Changed values take effect at the next
     * start: addresses and limits are fixed for the life of a process.
     */
    public void reload(Path file) {
        loop.execute(() -> {
            try {
                boolean changed = !EntrySettings.parse(Files.readAllBytes(file)).equals(settings);
                log.record(EventCode.SETTINGS_RELOADED, settings.instance(), "changed", changed);
            } catch (IOException | JsonFormatException e) {
                log.record(EventCode.SETTINGS_UNREADABLE, settings.instance(), "cause", String.valueOf(e.getMessage()));
            }
        });
    }

    /**
     * Drains the instance and returns when it may exit. The instance reports not ready, keeps accepting connections
     * until the load balancer has seen that, and has drained when all responses are sent or the limit is reached.
     */
    public void stop() throws InterruptedException {
        loop.execute(() -> {
            stopping = true;
            callers.beginDrain();
            duties.release();
            log.record(EventCode.PROCESS_STOPPING, settings.instance(), "busy", callers.activeConnectionCount());
        });
        DrainMonitor monitor =
                new DrainMonitor(callers, requests, timeSource, settings.shutdownLimitMs(), drained::countDown);
        loop.scheduleWithFixedDelay(
                guarded("drain", monitor::check), 0, DrainMonitor.INTERVAL_MS, TimeUnit.MILLISECONDS);
        drained.await(settings.shutdownLimitMs(), TimeUnit.MILLISECONDS);
        writeLastCounts();
        loop.submit(() -> log.record(
                        EventCode.PROCESS_STOPPED, settings.instance(), "interrupted", callers.activeConnectionCount()))
                .await(LAST_EVENT_TIMEOUT_MS);
    }

    /** Writes the counts of the current window, which no other instance knows. */
    private void writeLastCounts() throws InterruptedException {
        CompletableFuture<Void> written = new CompletableFuture<>();
        loop.execute(guarded(
                "last usage counts", () -> duties.flush().whenComplete((done, failure) -> written.complete(null))));
        try {
            written.get(LAST_WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.record(EventCode.USAGE_LATE, settings.instance(), "cause", "last counts were not confirmed");
        }
    }
}
