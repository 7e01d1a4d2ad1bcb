package org.cranberrybend.wire.node;

import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.ReplicaDigests;
import org.cranberrybend.wire.generated.UpstreamInfo;
import org.cranberrybend.wire.generated.UpstreamTable;

/**
 * Replicates the upstream table, the latest instance list that any controller read from the platform.
 *
 * <p>A changed table is pushed to the own zone. An unchanged table is not sent again; only the time of its latest read
 * is exchanged, with the digests in probes. A member with an older table receives the newer one when it sends or
 * receives a probe.
 */
final class UpstreamReplication {
    /** Guards the replacement of the table. Takes the place of the upstream directory in the lock order. */
    private final Object upstreamLock = new Object();

    private final PeerGroup peers;
    private final ChangeListeners listeners;
    private volatile Table table = new Table(List.of(), 0, 0);

    private record Table(List<Upstream> upstreams, long readAtMs, long digest) {}

    /** Result of an offered table: not newer than the current one, same upstreams, or different upstreams. */
    private enum Offer {
        IGNORED,
        CONFIRMED,
        CHANGED
    }

    UpstreamReplication(PeerGroup peers, ChangeListeners listeners) {
        this.peers = peers;
        this.listeners = listeners;
        PeerHandlers.onMessage(peers, Envelope.BodyCase.UPSTREAM_TABLE, this::receive);
    }

    List<Upstream> upstreams() {
        return table.upstreams();
    }

    long readAtMs() {
        return table.readAtMs();
    }

    void offer(List<Upstream> upstreams, long readAtMs) {
        if (replace(upstreams, readAtMs) == Offer.CHANGED) {
            peers.sendToOwnZone(toWire(table));
        }
    }

    private void receive(Envelope frame) {
        UpstreamTable received = frame.getUpstreamTable();
        replace(
                received.getUpstreamsList().stream()
                        .map(WireConversions::fromWire)
                        .toList(),
                received.getReadAtMs());
    }

    private Offer replace(List<Upstream> upstreams, long readAtMs) {
        List<Upstream> sorted =
                upstreams.stream().sorted(Comparator.comparing(Upstream::id)).toList();
        long digest = WireConversions.digest(sorted.stream()
                .map(upstream -> Base64.getEncoder()
                        .encodeToString(WireConversions.toWire(upstream).toByteArray()))
                .toList());
        Offer offer;
        synchronized (upstreamLock) {
            if (readAtMs <= table.readAtMs()) {
                return Offer.IGNORED;
            }
            offer = table.digest() == digest ? Offer.CONFIRMED : Offer.CHANGED;
            table = new Table(offer == Offer.CONFIRMED ? table.upstreams() : sorted, readAtMs, digest);
        }
        if (offer == Offer.CHANGED) {
            listeners.notifyChanged();
        }
        return offer;
    }

    void addDigest(ReplicaDigests.Builder digests) {
        Table current = table;
        digests.setUpstreamsReadAtMs(current.readAtMs()).setUpstreams(current.digest());
    }

    /** Compares the table with that of a peer: adopts a later read time if both are equal, or sends a newer table. */
    void exchange(String address, ReplicaDigests peer) {
        Table newer = null;
        synchronized (upstreamLock) {
            if (peer.getUpstreams() == table.digest()) {
                long readAtMs = Math.max(table.readAtMs(), peer.getUpstreamsReadAtMs());
                table = new Table(table.upstreams(), readAtMs, table.digest());
            } else if (peer.getUpstreamsReadAtMs() < table.readAtMs()) {
                newer = table;
            }
        }
        if (newer != null) {
            peers.messenger().send(address, toWire(newer));
        }
    }

    private static Envelope.Builder toWire(Table table) {
        List<UpstreamInfo> upstreams =
                table.upstreams().stream().map(WireConversions::toWire).toList();
        return Envelope.newBuilder()
                .setUpstreamTable(
                        UpstreamTable.newBuilder().setReadAtMs(table.readAtMs()).addAllUpstreams(upstreams));
    }
}
