package org.cranberrybend.controller.scaling;

import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.generated.DemandAck;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Receives demand reports from the routers and replies with the draining upstreams. */
public final class DemandReceiver {
    private final DemandCollector collector;
    private final ScalingOrderSource source;
    private final TimeSource time;

    /** Creates the receiver and registers it. The messenger must not have been started. */
    public DemandReceiver(
            PeerMessenger messenger, DemandCollector collector, ScalingOrderSource source, TimeSource time) {
        this.collector = collector;
        this.source = source;
        this.time = time;
        messenger.register(Envelope.BodyCase.DEMAND_REPORT, this::onReport);
    }

    private Optional<Envelope.Builder> onReport(Envelope message) {
        collector.receive(message.getSender(), message.getIncarnation(), message.getDemandReport(), time.monotonicMs());
        return Optional.of(Envelope.newBuilder().setDemandAck(acknowledgement(source.drains())));
    }

    private static DemandAck acknowledgement(DrainState drains) {
        return DemandAck.newBuilder()
                .setFencingNumber(drains.fencingNumber())
                .setVersion(drains.version())
                .addAllDrainingUpstreams(drains.drains().keySet())
                .build();
    }
}
