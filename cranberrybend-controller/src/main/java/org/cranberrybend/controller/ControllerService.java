package org.cranberrybend.controller;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cranberrybend.controller.configuration.ConfigurationRepository;
import org.cranberrybend.controller.configuration.ConfigurationSynchronizer;
import org.cranberrybend.controller.configuration.ConfigurationWatcher;
import org.cranberrybend.controller.configuration.ConfigurationWriter;
import org.cranberrybend.controller.configuration.PendingRevocations;
import org.cranberrybend.controller.configuration.ShardCleaner;
import org.cranberrybend.controller.lease.LeaseHolder;
import org.cranberrybend.controller.operator.KeyService;
import org.cranberrybend.controller.operator.OperatorApi;
import org.cranberrybend.controller.operator.RequestExplainer;
import org.cranberrybend.controller.order.OrderProcessor;
import org.cranberrybend.controller.order.OrderSource;
import org.cranberrybend.controller.scaling.DemandCollector;
import org.cranberrybend.controller.scaling.DemandReceiver;
import org.cranberrybend.controller.scaling.ScalingOrderSource;
import org.cranberrybend.controller.scaling.ScalingParameters;
import org.cranberrybend.controller.schedule.Backoff;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.controller.upstream.InstanceListPoller;
import org.cranberrybend.controller.usage.OpenUsageWriter;
import org.cranberrybend.controller.usage.RecentUsageReader;
import org.cranberrybend.controller.usage.UsageCollector;
import org.cranberrybend.controller.usage.UsageDuty;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.admin.AdminServer;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.runtime.lifecycle.ServiceGroup;
import org.cranberrybend.runtime.platform.InstanceListClient;
import org.cranberrybend.runtime.platform.KeyValueClient;
import org.cranberrybend.runtime.platform.LeaseClient;
import org.cranberrybend.runtime.platform.UpstreamOrderClient;
import org.cranberrybend.runtime.platform.UsageReportClient;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.node.PeerNode;
import org.cranberrybend.wire.node.PeerNodeSettings;

/** Creates the services of a controller, and starts and stops them. */
final class ControllerService implements Service {
    private static final long BACKOFF_BASE_MS = 500;
    private static final long BACKOFF_MAX_MS = 10_000;

    private final TimeSource time = TimeSource.system();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    private final ControllerSettings settings;
    private final EventLog events;
    private final PeerNode node;
    private final ServiceGroup services;
    private final List<AutoCloseable> clients = new ArrayList<>();

    ControllerService(ControllerSettings settings) {
        this.settings = settings;
        ProcessIdentity identity = new ProcessIdentity(
                settings.instance(), ControllerRanking.ROLE, time.wallMs(), settings.zone(), settings.region());
        this.events = new EventLog(identity, new HybridClock(time));
        MetricRegistry metrics = new MetricRegistry();
        this.node = new PeerNode(
                new PeerNodeSettings(
                        identity,
                        settings.host(),
                        settings.peerPort(),
                        settings.host() + ":" + settings.adminPort(),
                        settings.peers()),
                events,
                metrics,
                time);
        this.services = new ServiceGroup(createServices(metrics));
    }

    private List<Service> createServices(MetricRegistry metrics) {
        URI platform = URI.create(settings.platformUrl());
        KeyValueClient store = closeOnStop(new KeyValueClient(platform));
        ControllerRanking ranking = new ControllerRanking(node);
        ConfigurationRepository repository = new ConfigurationRepository(store, time);
        ConfigurationSynchronizer synchronizer = new ConfigurationSynchronizer(repository, node, events);
        ConfigurationWriter writer = new ConfigurationWriter(repository, synchronizer, node, time, events);
        ControllerStatus status = new ControllerStatus(node, time);
        RequestExplainer explainer = closeOnStop(new RequestExplainer(node));
        KeyService keys =
                new KeyService(writer, node, new KeyHasher(settings.keyHashSecret()), new SecureRandom(), events);
        OperatorApi operatorApi = new OperatorApi(
                settings.operatorTokenDigestHex(),
                writer,
                node,
                keys,
                node,
                explainer,
                status::fields,
                new RecentUsageReader(store));
        ConfigurationWatcher watcher = new ConfigurationWatcher(
                store,
                synchronizer,
                new PendingRevocations(node, writer),
                new ShardCleaner(store, time),
                ranking,
                createBackoff(),
                events);
        InstanceListPoller poller = new InstanceListPoller(
                closeOnStop(new InstanceListClient(platform)),
                node,
                ranking,
                createBackoff(),
                time,
                events,
                settings.instanceListPeriodMs());
        List<Service> all = new ArrayList<>();
        all.add(new AdminServer(
                settings.host(), settings.adminPort(), events, metrics, status::isReady, status::fields));
        all.add(node);
        all.add(new PeriodicTask("configuration-watch", watcher, events));
        all.add(new PeriodicTask("instance-list", poller, events));
        all.addAll(createOrderServices(platform, store, ranking));
        all.addAll(createUsageServices(platform, store, ranking));
        all.add(new HttpService(settings.host(), settings.operatorPort(), operatorApi.router()));
        return all;
    }

    private List<Service> createOrderServices(URI platform, KeyValueClient store, ControllerRanking ranking) {
        LeaseTimes times =
                new LeaseTimes(settings.leaseTtlMs(), settings.leaseSafetyMarginMs(), settings.orderTimeoutMs());
        LeaseHolder lease = new LeaseHolder(
                closeOnStop(new LeaseClient(platform)),
                "lease/orders/" + settings.zone(),
                node.self().id(),
                times,
                ranking::isActive,
                time,
                events);
        UpstreamOrderClient orders = closeOnStop(new UpstreamOrderClient(platform, settings.orderTimeoutMs()));
        OrderSource source = createOrderSource(orders, lease);
        OrderProcessor processor = new OrderProcessor(
                settings.zone(),
                store,
                orders,
                lease,
                times,
                source,
                () -> Long.toHexString(random.nextLong()),
                time,
                events,
                settings.orderPeriodMs());
        return List.of(
                new PeriodicTask("order-lease", lease, lease::release, events),
                new PeriodicTask("orders", processor, events));
    }

    private OrderSource createOrderSource(UpstreamOrderClient orders, LeaseHolder lease) {
        ScalingParameters parameters =
                ScalingParameters.DEFAULT.withOverrides(settings.scaleDownHoldMs(), settings.drainLimitMs());
        DemandCollector collector = new DemandCollector(settings.zone(), parameters.smoothingMs());
        ScalingOrderSource source = new ScalingOrderSource(
                collector, node::view, node, node, orders, () -> fencingNumber(lease), parameters, time, events);
        new DemandReceiver(node.messenger(), collector, source, time);
        return source;
    }

    private static OptionalLong fencingNumber(LeaseHolder lease) {
        return lease.check().stream()
                .mapToLong(check -> check.fencingNumber().value())
                .findFirst();
    }

    private List<Service> createUsageServices(URI platform, KeyValueClient store, ControllerRanking ranking) {
        LeaseTimes times =
                new LeaseTimes(settings.leaseTtlMs(), settings.leaseSafetyMarginMs(), settings.reportTimeoutMs());
        LeaseHolder lease = new LeaseHolder(
                closeOnStop(new LeaseClient(platform)),
                "lease/usage",
                node.self().id(),
                times,
                ranking::isFirst,
                time,
                events);
        UsageCollector collector = new UsageCollector();
        node.messenger().register(Envelope.BodyCase.USAGE_FLUSH, collector);
        OpenUsageWriter writer = new OpenUsageWriter(
                collector,
                store,
                settings.zone(),
                settings.instance(),
                time,
                settings.usageSealDelayMs(),
                settings.usageWritePeriodMs());
        UsageDuty duty = new UsageDuty(
                store,
                closeOnStop(new UsageReportClient(platform, settings.reportTimeoutMs())),
                lease,
                time,
                events,
                settings.usageSealDelayMs());
        return List.of(
                new PeriodicTask("usage-lease", lease, lease::release, events),
                // A final run writes the usage received last before this controller stops.
                new PeriodicTask("usage-write", writer, writer::run, events),
                new PeriodicTask("usage-seal", duty, events));
    }

    private Backoff createBackoff() {
        return new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, random);
    }

    private <T extends AutoCloseable> T closeOnStop(T client) {
        clients.add(client);
        return client;
    }

    @Override
    public void start() throws ServiceException {
        services.start();
        events.record(EventCode.PROCESS_STARTED, settings.instance(), Map.of("role", ControllerRanking.ROLE));
    }

    @Override
    public void stop() {
        events.record(EventCode.PROCESS_STOPPING, settings.instance(), Map.of());
        node.leave();
        services.stop();
        for (AutoCloseable client : clients) {
            try {
                client.close();
            } catch (Exception e) {
                events.record(EventCode.INTERNAL_FAILURE, "stop", Map.of("reason", String.valueOf(e)));
            }
        }
        events.record(EventCode.PROCESS_STOPPED, settings.instance(), Map.of());
    }
}
