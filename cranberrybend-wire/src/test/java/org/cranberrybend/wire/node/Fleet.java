package org.cranberrybend.wire.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.IntNode;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.ServiceException;

/** Peer nodes on the loopback interface, stopped on close. */
final class Fleet implements AutoCloseable {
    private final List<PeerNode> nodes = new ArrayList<>();
    private long incarnation = 1;

    PeerNode start(String instance, String zone, List<String> seeds) throws ServiceException {
        PeerNode node = create(instance, zone, seeds, new MetricRegistry());
        node.start();
        return node;
    }

    PeerNode create(String instance, String zone, List<String> seeds, MetricRegistry metrics) {
        ProcessIdentity identity = new ProcessIdentity(instance, "router", incarnation++, zone, "alfold");
        EventLog eventLog = new EventLog(identity, new HybridClock(TimeSource.system()));
        PeerNodeSettings settings = new PeerNodeSettings(identity, "127.0.0.1", 0, "127.0.0.1:1", seeds);
        PeerNode node = new PeerNode(settings, eventLog, metrics, TimeSource.system());
        nodes.add(node);
        return node;
    }

    PeerNode startWithSeed(PeerNode seed, String instance, String zone) throws ServiceException {
        return start(instance, zone, List.of(seed.self().peerAddress()));
    }

    static ChangeSet nextChangeSet(ConfigurationState state, String author) {
        EntityChange change = new EntityChange(EntityKind.SETTING, "limit", IntNode.valueOf((int) state.revision()));
        return new ChangeSet(state.revision() + 1, state.chainDigest(), author, 0, List.of(change));
    }

    static boolean recorded(EventLog eventLog, EventCode code, String subject) {
        return eventLog.eventsAfter(0).stream()
                .anyMatch(event -> event.code() == code && event.subject().equals(subject));
    }

    @Override
    public void close() {
        nodes.forEach(PeerNode::stop);
    }
}
