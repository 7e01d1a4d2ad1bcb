package org.cranberrybend.router;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.shard.FleetSlotBroker;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.runtime.lifecycle.ServiceGroup;
import org.cranberrybend.runtime.platform.KeyValueClient;
import org.cranberrybend.wire.node.PeerNode;
import org.cranberrybend.wire.node.PeerNodeSettings;

/** The router process: peer node, slot broker and data path. */
public final class RouterProcess implements Service {
    private static final String ROLE = "router";

    private final PeerNode node;
    private final RouterService router;
    private final ServiceGroup services;

    /** Creates the process without opening any port. */
    public RouterProcess(RouterSettings settings) {
        TimeSource timeSource = TimeSource.system();
        ProcessIdentity identity =
                new ProcessIdentity(settings.instance(), ROLE, timeSource.wallMs(), settings.zone(), settings.region());
        EventLog events = new EventLog(identity, new HybridClock(timeSource));
        MetricRegistry metrics = new MetricRegistry();
        String adminAddress = settings.host() + ":" + settings.adminPort();
        this.node = new PeerNode(
                new PeerNodeSettings(identity, settings.host(), settings.peerPort(), adminAddress, settings.peers()),
                events,
                metrics,
                timeSource);
        FleetSlotBroker broker = new FleetSlotBroker(
                node, node, node.messenger(), events, metrics, timeSource, () -> ThreadLocalRandom.current()
                        .nextDouble());
        this.router = new RouterService(
                settings,
                new RouterService.Environment(
                        node,
                        node,
                        node,
                        node.messenger(),
                        broker,
                        new KeyValueClient(URI.create(settings.platformUrl())),
                        events,
                        metrics,
                        timeSource,
                        () -> UUID.randomUUID().toString(),
                        () -> ThreadLocalRandom.current().nextDouble()));
        this.services = new ServiceGroup(List.of(node, broker, router));
    }

    @Override
    public void start() throws ServiceException {
        services.start();
    }

    /** Announces the departure to the members first, so that shards move while in-flight requests complete. */
    @Override
    public void stop() {
        node.leave();
        services.stop();
    }
}
