package org.cranberrybend.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.BodyMemory;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.request.RequestPath;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.store.PrefixWatch;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.usage.TrueClock;
import org.cranberrybend.entry.usage.UsageCounter;

/**
 * All services of an entry instance on one event loop. The loop is the only thread that touches their state, so there
 * are no locks between them; the log has a thread of its own, because standard output may block.
 */
public final class EntryService {
    /** Limits before the first configuration; no request is served then. */
    private static final ServerLimits FIRST_LIMITS = new ServerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

    private static final long UPSTREAM_GATHER_MS = 300;
    private static final long MAINTENANCE_INTERVAL_MS = 250;
    /** Share of the instance's memory that bodies of requests may take at the same time. */
    private static final double BODY_MEMORY_SHARE = 0.08;

    private final EntrySettings settings;
    private final DecisionLog log;
    private final TimeSource timeSource = TimeSource.system();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer callers;
    private final HttpServer readiness;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final PrefixWatch configurationWatch;
    private final PrefixWatch upstreamWatch;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean stopping;

    /** Creates the services; nothing runs yet. */
    public EntryService(EntrySettings settings, EntryPorts ports, DecisionLog log) {
        this.settings = settings;
        this.log = log;
        HttpConnector connector = new HttpConnector(loop);
        KeyValueStore store = ports.openStore(loop, connector, settings.storeAddress());
        StoreKeys keys = ports.storeKeys();
        configuration = new ConfigurationHolder(ports.configurationDecoder(), log);
        upstreams = new UpstreamTable(keys.upstreamPrefix(), ports.upstreamDecoder(), connector, timeSource, log);
        configurationWatch =
                new PrefixWatch(store, keys.configurationKey(), 0, loop, timeSource, configurationListener());
        upstreamWatch = new PrefixWatch(store, keys.upstreamPrefix(), UPSTREAM_GATHER_MS, loop, timeSource, upstreams);
        UsageCounter usage = new UsageCounter(settings.usageWindowMs(), new TrueClock(timeSource));
        BodyMemory bodyMemory = new BodyMemory((long) (settings.memoryMb() * 1024L * 1024L * BODY_MEMORY_SHARE));
        RequestPath path = new RequestPath(
                settings, loop, timeSource, ports.headerNames(), configuration, upstreams, usage, log, metrics);
        callers = new HttpServer(loop, timeSource, path.handler(), this::callerLimits, bodyMemory);
        readiness = new HttpServer(loop, timeSource, this::answerReadiness, () -> FIRST_LIMITS, bodyMemory);
    }

    private ServerLimits callerLimits() {
        return configuration.current().map(each -> each.callerLimits()).orElse(FIRST_LIMITS);
    }

    private PrefixWatch.Listener configurationListener() {
        return new PrefixWatch.Listener() {
            @Override
            public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
                snapshot.items().forEach(item -> configuration.offer(item.key(), item.value()));
            }

            @Override
            public void onChange(StoreChange change) {
                change.item().ifPresent(item -> configuration.offer(item.key(), item.value()));
            }

            @Override
            public void onHeard() {
                // The age of the configuration is that of the table of upstreams, which is watched alongside.
            }

            @Override
            public void onLost(String cause) {
                log.record(EventCode.STORE_UNAVAILABLE, "configuration", "cause", cause);
            }
        };
    }

    private boolean isReady() {
        return !stopping && configuration.current().isPresent() && upstreams.isLoaded();
    }

    private void answerReadiness(ReceivedRequest request, ServerExchange exchange) {
        boolean ready = isReady();
        exchange.respond(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", List.of(), new byte[0]);
    }

    /** Starts to read the configuration, and listens. */
    public void start() throws InterruptedException {
        loop.execute(configurationWatch::start);
        loop.execute(upstreamWatch::start);
        callers.listen(settings.callerAddress());
        readiness.listen(settings.readinessAddress());
        loop.scheduleWithFixedDelay(
                this::maintain, MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.execute(() -> log.record(EventCode.PROCESS_STARTED, settings.instance(), "zone", settings.zone()));
    }

    private void maintain() {
        upstreams.removeLapsed(timeSource.monotonicMs());
    }

    /**
     * Stops: the instance reports itself as not ready, serves its connections on for the time that the balancer needs to
     * notice, and ends when all requests are answered or the limit is reached.
     */
    public void stop() throws InterruptedException {
        loop.execute(() -> {
            stopping = true;
            callers.beginDrain();
            log.record(EventCode.PROCESS_STOPPING, settings.instance(), "busy", callers.busyCount());
        });
        DrainMonitor monitor = new DrainMonitor(callers, timeSource, settings.shutdownLimitMs(), drained::countDown);
        loop.scheduleWithFixedDelay(monitor::check, 0, DrainMonitor.INTERVAL_MS, TimeUnit.MILLISECONDS);
        drained.await(settings.shutdownLimitMs(), TimeUnit.MILLISECONDS);
        loop.execute(
                () -> log.record(EventCode.PROCESS_STOPPED, settings.instance(), "interrupted", callers.busyCount()));
    }
}
