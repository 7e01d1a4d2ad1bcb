package org.cranberrybend.wire.node;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.HybridTimestamp;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.ReplicaDigests;
import org.cranberrybend.wire.transport.PeerContext;
import org.cranberrybend.wire.transport.PeerMessenger;
import org.cranberrybend.wire.transport.PeerTransport;
import org.cranberrybend.wire.transport.PeerTransportSettings;

/**
 * Membership of this process in the fleet: combines the peer transport, the membership protocol, and the replication of
 * configuration, revocations and upstreams.
 *
 * <p>{@link #addListener} implements both {@link MemberDirectory} and {@link ConfigurationStore}: a listener is called
 * after changes of the members, of the configuration and of the revocations.
 */
public final class PeerNode implements Service, MemberDirectory, ConfigurationStore, UpstreamSource {
    /** Bound on waiting for a peer after a pause; a process without reachable peers resumes after this time. */
    private static final long CATCH_UP_TIMEOUT_MS = 3_000;

    private static final long STOP_TIMEOUT_MS = 2_000;

    private final ProcessIdentity identity;
    private final EventLog eventLog;
    private final TimeSource timeSource;
    private final PeerTransport transport;
    private final MembershipService membership;
    private final ConfigurationReplication configuration;
    private final RevocationReplication revocations;
    private final UpstreamReplication upstreams;
    private final ChangeListeners listeners;
    private final ChangeListeners upstreamListeners;
    private final ExecutorService notifier = Executors.newSingleThreadExecutor(new ThreadFactoryBuilder()
            .setNameFormat("peer-listeners")
            .setDaemon(true)
            .build());
    private volatile CatchUp catchUp = CatchUp.DONE;

    /** Identifiers and peer addresses of the members of other regions. */
    private volatile Set<String> otherRegionPeers = Set.of();

    /** Catch-up with the peers' configuration after a pause. Requests wait while it is pending, until the deadline. */
    private record CatchUp(boolean pending, long deadlineMs) {
        private static final CatchUp DONE = new CatchUp(false, 0);
    }

    /** Creates a node with default transport settings; it must be started. */
    public PeerNode(PeerNodeSettings settings, EventLog eventLog, MetricRegistry metrics, TimeSource timeSource) {
        this(settings, PeerTransportSettings.of(settings.host(), settings.peerPort()), eventLog, metrics, timeSource);
    }

    /** Creates a node; it must be started. */
    public PeerNode(
            PeerNodeSettings settings,
            PeerTransportSettings transportSettings,
            EventLog eventLog,
            MetricRegistry metrics,
            TimeSource timeSource) {
        this.identity = settings.identity();
        this.eventLog = eventLog;
        this.timeSource = timeSource;
        this.listeners = new ChangeListeners(notifier);
        this.upstreamListeners = new ChangeListeners(notifier);
        this.transport = new PeerTransport(transportSettings, new Context(), metrics);
        PeerGroup peers = new PeerGroup(identity, this::members, transport, new Random());
        this.configuration = new ConfigurationReplication(eventLog, timeSource, peers, listeners);
        this.revocations = new RevocationReplication(eventLog, peers, listeners);
        this.upstreams = new UpstreamReplication(peers, upstreamListeners);
        this.membership = new MembershipService(
                settings,
                eventLog,
                timeSource,
                transport,
                listeners,
                new MembershipService.Callbacks(
                        this::digests, this::exchange, this::startCatchUp, this::onSynchronized));
        membership.register();
        listeners.add(this::updateOtherRegionPeers);
    }

    private void updateOtherRegionPeers() {
        Set<String> inOtherRegions = new HashSet<>();
        for (Member member : members()) {
            if (!member.identity().region().equals(identity.region())) {
                inOtherRegions.add(member.id());
                inOtherRegions.add(member.peerAddress());
            }
        }
        otherRegionPeers = Set.copyOf(inOtherRegions);
    }

    @Override
    public void start() throws ServiceException {
        transport.start();
        membership.start(transport.port());
    }

    @Override
    public void stop() {
        membership.stop();
        transport.stop();
        notifier.shutdownNow();
        try {
            notifier.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the messenger. Handlers must be registered before the start. */
    public PeerMessenger messenger() {
        return transport;
    }

    /** Announces to all members that this process is leaving. */
    public void leave() {
        membership.leave();
    }

    /** Returns whether a configuration has been accepted; a process without one is not ready. */
    public boolean hasConfiguration() {
        return configuration.state().revision() > 0;
    }

    /**
     * Returns whether this process was paused and has not yet compared its configuration with a peer. Requests wait
     * until then, but without a reachable peer only for the catch-up timeout.
     */
    @Override
    public boolean isCatchingUp() {
        CatchUp current = catchUp;
        return membership.isPaused() || (current.pending() && timeSource.monotonicMs() < current.deadlineMs());
    }

    private void startCatchUp() {
        catchUp = new CatchUp(true, timeSource.monotonicMs() + CATCH_UP_TIMEOUT_MS);
    }

    private void onSynchronized(String address, Envelope frame) {
        if (frame.getConfigurationRevision() <= configuration.state().revision()) {
            catchUp = CatchUp.DONE;
            return;
        }
        configuration.requestNewer(frame.getSender(), address).thenAccept(progressed -> {
            if (progressed) {
                catchUp = CatchUp.DONE;
            }
        });
    }

    private ReplicaDigests digests() {
        ReplicaDigests.Builder digests = ReplicaDigests.newBuilder().setRevocations(revocations.digest());
        upstreams.addDigest(digests);
        return digests.build();
    }

    private void exchange(String address, ReplicaDigests digests) {
        revocations.exchange(address, digests.getRevocations());
        upstreams.exchange(address, digests);
    }

    @Override
    public Member self() {
        return membership.self();
    }

    @Override
    public List<Member> members() {
        return membership.members();
    }

    @Override
    public Optional<Member> member(String memberId) {
        return members().stream().filter(member -> member.id().equals(memberId)).findFirst();
    }

    @Override
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public ConfigurationState state() {
        return configuration.state();
    }

    @Override
    public ConfigurationView view() {
        return configuration.view();
    }

    @Override
    public RevocationSet revocations() {
        return revocations.keys();
    }

    @Override
    public OfferResult offer(ChangeSet changeSet) {
        return configuration.offer(changeSet);
    }

    @Override
    public OfferResult offerSnapshot(ConfigurationState snapshot) {
        return configuration.offerSnapshot(snapshot);
    }

    @Override
    public void revoke(RevocationSet added) {
        revocations.revoke(added);
    }

    @Override
    public void recordStoreRead() {
        configuration.confirmation().recordRead();
    }

    @Override
    public long storeConfirmedAgeMs() {
        return configuration.confirmation().ageMs();
    }

    @Override
    public List<Upstream> upstreams() {
        return upstreams.upstreams();
    }

    @Override
    public long upstreamsReadAtMs() {
        return upstreams.readAtMs();
    }

    @Override
    public void offerUpstreams(List<Upstream> offered, long readAtMs) {
        upstreams.offer(offered, readAtMs);
    }

    @Override
    public void addUpstreamListener(Runnable listener) {
        upstreamListeners.add(listener);
    }

    private final class Context implements PeerContext {
        @Override
        public void fillHeader(Envelope.Builder frame) {
            HybridTimestamp timestamp = eventLog.clock().tick();
            frame.setSender(identity.memberId())
                    .setIncarnation(identity.incarnation())
                    .setHlcWallMs(timestamp.wallMs())
                    .setHlcCounter(timestamp.counter());
            configuration.fillHeader(frame);
        }

        @Override
        public Envelope.Builder hello() {
            return membership.hello();
        }

        @Override
        public void observe(Envelope frame) {
            eventLog.clock().observe(new HybridTimestamp(frame.getHlcWallMs(), frame.getHlcCounter()));
            configuration.observe(frame);
        }

        @Override
        public boolean isInOtherRegion(String memberIdOrAddress) {
            return otherRegionPeers.contains(memberIdOrAddress);
        }
    }
}
