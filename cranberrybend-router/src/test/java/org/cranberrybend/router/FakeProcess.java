package org.cranberrybend.router;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UsageAck;
import org.cranberrybend.wire.node.ConfigurationStore;
import org.cranberrybend.wire.node.MemberDirectory;
import org.cranberrybend.wire.node.UpstreamSource;
import org.cranberrybend.wire.transport.PeerHandler;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Simple implementations of what a router takes from its process. */
public final class FakeProcess implements ConfigurationStore, MemberDirectory, UpstreamSource, PeerMessenger {
    public final List<Member> members = new CopyOnWriteArrayList<>();
    public final List<Envelope> sent = new CopyOnWriteArrayList<>();
    public volatile boolean acknowledging = true;
    public volatile long ageMs;
    public volatile BooleanSupplier catchingUp = () -> false;
    private final Map<EntityId, com.fasterxml.jackson.databind.JsonNode> entities = new TreeMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final List<Runnable> upstreamListeners = new CopyOnWriteArrayList<>();
    private volatile List<Upstream> upstreams = List.of();
    private volatile RevocationSet revocations = RevocationSet.EMPTY;
    private volatile ConfigurationState state = ConfigurationState.EMPTY;
    private volatile ConfigurationView view = new ConfigurationView(state);

    public FakeProcess() {
        members.add(member("entry-1", "router", 1));
    }

    public static Member member(String instance, String role, long incarnation) {
        ProcessIdentity identity = new ProcessIdentity(instance, role, incarnation, "zone-a", "region-1");
        return new Member(identity, instance + ":1", instance + ":2", MemberState.ALIVE);
    }

    /** Sets an entity of the configuration, which gains a revision. */
    public synchronized void set(EntityKind kind, String name, String json) throws Exception {
        entities.put(new EntityId(kind, name), CanonicalJson.mapper().readTree(json.replace('\'', '"')));
        state = new ConfigurationState(state.revision() + 1, "digest", ImmutableSortedMap.copyOf(entities));
        view = new ConfigurationView(state);
        if (!view.errors().isEmpty()) {
            throw new IllegalArgumentException(view.errors().toString());
        }
        listeners.forEach(Runnable::run);
    }

    public void setUpstreams(List<Upstream> newUpstreams) {
        upstreams = List.copyOf(newUpstreams);
        upstreamListeners.forEach(Runnable::run);
    }

    @Override
    public ConfigurationState state() {
        return state;
    }

    @Override
    public ConfigurationView view() {
        return view;
    }

    @Override
    public RevocationSet revocations() {
        return revocations;
    }

    @Override
    public OfferResult offer(ChangeSet changeSet) {
        throw new UnsupportedOperationException();
    }

    @Override
    public OfferResult offerSnapshot(ConfigurationState snapshot) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void revoke(RevocationSet added) {
        revocations = revocations.merge(added);
        listeners.forEach(Runnable::run);
    }

    @Override
    public void recordStoreRead() {
        ageMs = 0;
    }

    @Override
    public long storeConfirmedAgeMs() {
        return ageMs;
    }

    @Override
    public boolean isCatchingUp() {
        return catchingUp.getAsBoolean();
    }

    @Override
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public Member self() {
        return members.get(0);
    }

    @Override
    public List<Member> members() {
        return new ArrayList<>(members);
    }

    @Override
    public Optional<Member> member(String memberId) {
        return members.stream().filter(each -> each.id().equals(memberId)).findFirst();
    }

    @Override
    public List<Upstream> upstreams() {
        return upstreams;
    }

    @Override
    public long upstreamsReadAtMs() {
        return 1;
    }

    @Override
    public void offerUpstreams(List<Upstream> offered, long readAtMs) {
        setUpstreams(offered);
    }

    @Override
    public void addUpstreamListener(Runnable listener) {
        upstreamListeners.add(listener);
    }

    @Override
    public void send(String peerAddress, Envelope.Builder message) {
        sent.add(message.setSender(peerAddress).build());
    }

    @Override
    public CompletableFuture<Envelope> request(String peerAddress, Envelope.Builder message, long timeoutMs) {
        sent.add(message.setSender(peerAddress).build());
        if (!acknowledging) {
            return CompletableFuture.failedFuture(new java.util.concurrent.TimeoutException("no answer"));
        }
        UsageAck.Builder ack = UsageAck.newBuilder();
        message.getUsageFlush().getWindowsList().forEach(each -> ack.addWindowStartMs(each.getWindowStartMs()));
        return CompletableFuture.completedFuture(
                Envelope.newBuilder().setUsageAck(ack).build());
    }

    @Override
    public void register(Envelope.BodyCase bodyCase, PeerHandler handler) {
        throw new UnsupportedOperationException();
    }
}
