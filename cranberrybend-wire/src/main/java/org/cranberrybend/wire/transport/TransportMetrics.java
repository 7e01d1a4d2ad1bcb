package org.cranberrybend.wire.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.util.EnumMap;
import java.util.Map;
import org.cranberrybend.wire.generated.Envelope;

/** Counters of frames and bytes by message type, and by purpose for traffic over the inter-region link. */
final class TransportMetrics {
    /** Size of the length prefix of a frame. */
    static final int PREFIX_BYTES = 4;

    private final MetricRegistry registry;
    private final Map<Envelope.BodyCase, TypeCounters> counters = new EnumMap<>(Envelope.BodyCase.class);

    private record TypeCounters(Counter framesSent, Counter bytesSent, Counter framesReceived, Counter bytesReceived) {}

    TransportMetrics(MetricRegistry registry) {
        this.registry = registry;
        for (Envelope.BodyCase bodyCase : Envelope.BodyCase.values()) {
            String label = "{type=\"" + typeName(bodyCase) + "\"}";
            counters.put(
                    bodyCase,
                    new TypeCounters(
                            registry.counter("peer_frames_sent" + label),
                            registry.counter("peer_bytes_sent" + label),
                            registry.counter("peer_frames_received" + label),
                            registry.counter("peer_bytes_received" + label)));
        }
    }

    private static String typeName(Envelope.BodyCase bodyCase) {
        FieldDescriptor field = Envelope.getDescriptor().findFieldByNumber(bodyCase.getNumber());
        return field == null ? "KeepAlive" : field.getMessageType().getName();
    }

    void recordSent(Envelope frame) {
        TypeCounters type = counters.get(frame.getBodyCase());
        type.framesSent().inc();
        type.bytesSent().inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    void recordReceived(Envelope frame) {
        TypeCounters type = counters.get(frame.getBodyCase());
        type.framesReceived().inc();
        type.bytesReceived().inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    void recordSentToOtherRegion(Envelope frame) {
        linkCounter("peer_link_bytes_sent", frame).inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    void recordReceivedFromOtherRegion(Envelope frame) {
        linkCounter("peer_link_bytes_received", frame).inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    void recordDelayedForLink(Envelope frame) {
        linkCounter("peer_link_frames_delayed", frame).inc();
    }

    private Counter linkCounter(String name, Envelope frame) {
        String purpose = LinkPurpose.of(frame.getBodyCase()).label();
        return registry.counter(name + "{purpose=\"" + purpose + "\"}");
    }

    void recordDropped(DropReason reason) {
        registry.counter("peer_frames_dropped{reason=\"" + reason.label() + "\"}")
                .inc();
    }

    void recordHandlerFailure(Envelope.BodyCase bodyCase) {
        registry.counter("peer_handler_failures{type=\"" + typeName(bodyCase) + "\"}")
                .inc();
    }

    void recordReceiveTimeout() {
        registry.counter("peer_connections_silent").inc();
    }
}
