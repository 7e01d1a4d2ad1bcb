package org.cranberrybend.router;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.accept.AcceptLimits;
import org.cranberrybend.router.accept.CallerListener;
import org.cranberrybend.router.admit.AccountLimits;
import org.cranberrybend.router.authenticate.Authenticator;
import org.cranberrybend.router.dispatch.DispatchEnvironment;
import org.cranberrybend.router.dispatch.IdempotencyStore;
import org.cranberrybend.router.dispatch.ModelDispatcher;
import org.cranberrybend.router.dispatch.ServiceDispatcher;
import org.cranberrybend.router.dispatch.SlotBroker;
import org.cranberrybend.router.meter.RouterMetrics;
import org.cranberrybend.router.meter.UsageFlusher;
import org.cranberrybend.router.meter.UsageMeter;
import org.cranberrybend.router.route.ZoneCandidates;
import org.cranberrybend.runtime.admin.AdminServer;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.runtime.platform.KeyValueClient;
import org.cranberrybend.wire.node.ConfigurationStore;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;
import org.cranberrybend.wire.transport.PeerMessenger;

/** The data path of one router: caller port, admin port and usage flushes. */
public final class RouterService implements Service {
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final long WRITE_TIMEOUT_MS = 30_000;
    private static final long MAINTENANCE_INTERVAL_MS = 5_000;

    private final RouterSettings settings;
    private final EventLog events;
    private final ConfigurationStore store;
    private final DispatchEnvironment environment;
    private final KeyValueClient keyValueClient;
    private final UsageFlusher usageFlusher;
    private final CallerListener listener;
    private final AdminServer admin;
    private final CountDownLatch drainNoticeLatch = new CountDownLatch(1);
    private ScheduledExecutorService maintenance;
    private volatile boolean started;
    private volatile boolean draining;
    private boolean stopped;

    /**
     * Dependencies of the router that its process provides.
     *
     * @param members members of the fleet
     * @param store accepted configuration
     * @param upstreams upstreams of the instance list
     * @param messenger sends peer messages
     * @param broker grants slots
     * @param keyValueClient client of the platform's key-value store; closed by the router
     * @param events event log
     * @param metrics metric registry
     * @param timeSource clock
     * @param requestIds supplies unique request identifiers
     * @param jitter random numbers between 0 (inclusive) and 1 (exclusive)
     */
    public record Environment(
            MemberDirectory members,
            ConfigurationStore store,
            UpstreamSource upstreams,
            PeerMessenger messenger,
            SlotBroker broker,
            KeyValueClient keyValueClient,
            EventLog events,
            MetricRegistry metrics,
            TimeSource timeSource,
            Supplier<String> requestIds,
            DoubleSupplier jitter) {}

    /** Creates the service without opening any port. */
    public RouterService(RouterSettings settings, Environment process) {
        this.settings = settings;
        this.events = process.events();
        this.store = process.store();
        this.keyValueClient = process.keyValueClient();
        TimeSource timeSource = process.timeSource();
        KeyHasher keyHasher = new KeyHasher(settings.keyHashSecret());
        Authenticator authenticator = new Authenticator(store, keyHasher);
        RouterMetrics metrics = new RouterMetrics(process.metrics());
        this.environment = new DispatchEnvironment(
                process.broker(),
                new ZoneCandidates(
                        settings.zone(),
                        settings.region(),
                        process.upstreams(),
                        timeSource,
                        settings.linkBytesPerSecond(),
                        settings.linkBurstBytes()),
                timeSource,
                process.jitter(),
                metrics,
                settings.upstreamConnectTimeoutMs(),
                settings.upstreamReadTimeoutMs());
        UsageMeter usage = new UsageMeter(timeSource);
        this.usageFlusher = new UsageFlusher(usage, process.members(), process.messenger());
        IdempotencyStore idempotency = new IdempotencyStore(keyValueClient, timeSource);
        RequestPipeline pipeline = new RequestPipeline(
                authenticator,
                new AccountLimits(timeSource, () -> routersInZone(process.members())),
                new ModelDispatcher(environment),
                new ServiceDispatcher(environment, keyHasher, idempotency),
                usage,
                metrics,
                events);
        AcceptLimits limits = new AcceptLimits(
                settings.maxConnections(),
                settings.maxHeaderBytes(),
                settings.maxBodyBytes(),
                settings.receiveTimeoutMs(),
                IDLE_TIMEOUT_MS,
                WRITE_TIMEOUT_MS);
        this.listener = new CallerListener(
                settings.host(), settings.callerPort(), limits, timeSource, process.requestIds(), pipeline);
        this.admin = new AdminServer(
                settings.host(), settings.adminPort(), events, process.metrics(), this::isReady, this::status);
        Gauge<Integer> connections = listener::connectionCount;
        process.metrics().register("caller_connections", connections);
    }

    private static int routersInZone(MemberDirectory members) {
        String zone = members.self().identity().zone();
        return (int) members.members().stream()
                .filter(each -> each.identity().role().equals("router")
                        && each.identity().zone().equals(zone)
                        && each.state().mayOwnShards())
                .count();
    }

    private boolean isReady() {
        return started && !draining && store.view().revision() > 0;
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("ready", isReady());
        status.put("draining", draining);
        status.put("configuration_revision", store.view().revision());
        status.put("connections", listener.connectionCount());
        status.put("running_requests", listener.inFlightRequestCount());
        return status;
    }

    /** Returns the bound caller port; valid after {@link #start()}. */
    public int callerPort() {
        return listener.port();
    }

    /** Returns the number of open caller connections. */
    public int connectionCount() {
        return listener.connectionCount();
    }

    /** Returns the bound admin port; valid after {@link #start()}. */
    public int adminPort() {
        return admin.port();
    }

    @Override
    public synchronized void start() throws ServiceException {
        admin.start();
        usageFlusher.start();
        maintenance = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "maintenance"));
        maintenance.scheduleWithFixedDelay(
                environment::closeExpiredConnections,
                MAINTENANCE_INTERVAL_MS,
                MAINTENANCE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        store.addListener(listener::closeConnectionsOfRevokedKeys);
        try {
            listener.start();
        } catch (ServiceException e) {
            maintenance.shutdownNow();
            usageFlusher.stop();
            admin.stop();
            throw e;
        }
        started = true;
        events.record(EventCode.PROCESS_STARTED, "", Map.of("caller_port", listener.port()));
    }

    /**
     * Drains and stops the router: fails the readiness check, keeps accepting connections for the drain notice period,
     * then waits for in-flight requests up to the drain limit.
     */
    @Override
    public synchronized void stop() {
        if (!started || stopped) {
            return;
        }
        stopped = true;
        draining = true;
        events.record(EventCode.PROCESS_STOPPING, "", Map.of("running", listener.inFlightRequestCount()));
        try {
            drainNoticeLatch.await(settings.drainNoticeMs(), TimeUnit.MILLISECONDS);
            int interrupted = listener.drain(settings.drainLimitMs());
            if (interrupted > 0) {
                events.record(EventCode.DRAIN_INTERRUPTED, "", Map.of("interrupted", interrupted));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        listener.stop();
        usageFlusher.stop();
        maintenance.shutdownNow();
        environment.close();
        keyValueClient.close();
        events.record(EventCode.PROCESS_STOPPED, "", Map.of());
        admin.stop();
    }
}
