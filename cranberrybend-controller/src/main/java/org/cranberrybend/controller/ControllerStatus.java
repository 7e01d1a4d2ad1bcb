package org.cranberrybend.controller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.node.PeerNode;

/** Status of a controller as shown to operators. */
final class ControllerStatus {
    private final PeerNode node;
    private final TimeSource time;

    ControllerStatus(PeerNode node, TimeSource time) {
        this.node = node;
        this.time = time;
    }

    /**
     * Returns whether this controller can serve operators: it has a configuration, or a read of the store has confirmed
     * that none is stored.
     */
    boolean isReady() {
        return node.hasConfiguration() || node.storeConfirmedAgeMs() != Long.MAX_VALUE;
    }

    Map<String, Object> fields() {
        ProcessIdentity identity = node.self().identity();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("instance", identity.instance());
        fields.put("role", identity.role());
        fields.put("zone", identity.zone());
        fields.put("region", identity.region());
        fields.put("uptime_ms", time.wallMs() - identity.incarnation());
        fields.put("ready", isReady());
        fields.put("revision", node.state().revision());
        fields.put("chain_digest", node.state().chainDigest());
        long ageMs = node.storeConfirmedAgeMs();
        fields.put("store_confirmed_age_ms", ageMs == Long.MAX_VALUE ? null : ageMs);
        fields.put("pending_revocations", node.revocations().keyIds().size());
        Map<String, Integer> members = new TreeMap<>();
        for (Member member : node.members()) {
            members.merge(
                    member.identity().role() + "_" + member.state().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
        }
        fields.put("members", members);
        fields.put("upstreams", upstreams());
        return fields;
    }

    private List<Map<String, Object>> upstreams() {
        return node.upstreams().stream().map(ControllerStatus::fields).toList();
    }

    private static Map<String, Object> fields(Upstream upstream) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", upstream.id());
        fields.put("zone", upstream.zone());
        fields.put("services", upstream.services().stream().sorted().toList());
        fields.put("market", upstream.market().name());
        fields.put("leaving", upstream.leaving());
        return fields;
    }
}
