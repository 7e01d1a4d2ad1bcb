package org.cranberrybend.wire.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.wire.generated.ConfigurationEntity;
import org.cranberrybend.wire.generated.ConfigurationSnapshot;
import org.cranberrybend.wire.generated.MemberInfo;
import org.cranberrybend.wire.generated.MemberStateCode;
import org.cranberrybend.wire.generated.UpstreamInfo;

/**
 * Conversions between domain values and peer messages. Values that cannot be parsed cause
 * an {@link IllegalArgumentException}, which the transport counts as a handler failure.
 */
public final class WireConversions {
    private WireConversions() {}

    /** Returns the wire form of a member. */
    public static MemberInfo toWire(Member member) {
        return MemberInfo.newBuilder()
                .setInstance(member.identity().instance())
                .setRole(member.identity().role())
                .setIncarnation(member.incarnation())
                .setZone(member.identity().zone())
                .setRegion(member.identity().region())
                .setPeerAddress(member.peerAddress())
                .setAdminAddress(member.adminAddress())
                .setStateValue(member.state().ordinal())
                .setRefutations(member.refutations())
                .build();
    }

    /** Returns a member from its wire form. */
    public static Member fromWire(MemberInfo info) {
        if (info.getState() == MemberStateCode.UNRECOGNIZED) {
            throw new IllegalArgumentException("unknown member state: " + info.getStateValue());
        }
        ProcessIdentity identity = new ProcessIdentity(
                info.getInstance(), info.getRole(), info.getIncarnation(), info.getZone(), info.getRegion());
        MemberState state = MemberState.values()[info.getStateValue()];
        return new Member(identity, info.getPeerAddress(), info.getAdminAddress(), state, info.getRefutations());
    }

    /** Returns the wire form of an upstream. */
    public static UpstreamInfo toWire(Upstream upstream) {
        return UpstreamInfo.newBuilder()
                .setId(upstream.id())
                .setZone(upstream.zone())
                .setRegion(upstream.region())
                .setHost(upstream.host())
                .setPort(upstream.port())
                .setEngine(upstream.kind() == UpstreamKind.ENGINE)
                .addAllServices(upstream.services().stream().sorted().toList())
                .setCapacitySlots(upstream.capacitySlots())
                .setPreemptible(upstream.market() == Market.PREEMPTIBLE)
                .setChecksFencing(upstream.checksFencing())
                .setLeaving(upstream.leaving())
                .build();
    }

    /** Returns an upstream from its wire form. */
    public static Upstream fromWire(UpstreamInfo info) {
        return new Upstream(
                info.getId(),
                info.getZone(),
                info.getRegion(),
                info.getHost(),
                info.getPort(),
                info.getEngine() ? UpstreamKind.ENGINE : UpstreamKind.SERVICE,
                Set.copyOf(info.getServicesList()),
                info.getCapacitySlots(),
                info.getPreemptible() ? Market.PREEMPTIBLE : Market.GUARANTEED,
                info.getChecksFencing(),
                info.getLeaving());
    }

    /** Returns a configuration as a snapshot message. */
    public static ConfigurationSnapshot toWire(ConfigurationState state) {
        ConfigurationSnapshot.Builder snapshot =
                ConfigurationSnapshot.newBuilder().setRevision(state.revision()).setChainDigest(state.chainDigest());
        state.entities()
                .forEach((id, value) -> snapshot.addEntities(ConfigurationEntity.newBuilder()
                        .setKind(id.kind().wireName())
                        .setName(id.name())
                        .setValueJson(CanonicalJson.write(value))));
        return snapshot.build();
    }

    /** Parses a snapshot message. */
    public static ConfigurationState fromWire(ConfigurationSnapshot snapshot) {
        ImmutableSortedMap.Builder<EntityId, JsonNode> entities = ImmutableSortedMap.naturalOrder();
        for (ConfigurationEntity entity : snapshot.getEntitiesList()) {
            EntityId id = new EntityId(EntityKind.of(entity.getKind()), entity.getName());
            entities.put(id, readJson(entity.getValueJson(), JsonNode.class));
        }
        return new ConfigurationState(snapshot.getRevision(), snapshot.getChainDigest(), entities.build());
    }

    /** Parses the canonical JSON of a change set. */
    public static ChangeSet parseChangeSet(String json) {
        return readJson(json, ChangeSet.class);
    }

    private static <T> T readJson(String json, Class<T> type) {
        try {
            return CanonicalJson.mapper().readValue(json, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("peer message contains invalid JSON for " + type.getSimpleName(), e);
        }
    }

    /** Returns a digest of strings in the given order, by which members compare their replicas. */
    static long digest(List<String> strings) {
        return Hashing.sha256()
                .hashString(String.join("\n", strings), StandardCharsets.UTF_8)
                .asLong();
    }
}
