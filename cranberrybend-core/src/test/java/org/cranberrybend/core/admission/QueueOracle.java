package org.cranberrybend.core.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.routing.Upstream;

/**
 * Model of a {@link DispatchQueue} that checks its decisions. It keeps plain lists and shares no data structures with the
 * queue.
 */
final class QueueOracle {
    /** Waiting requests in order of their offers. */
    final Map<String, QueuedRequest> waiting = new LinkedHashMap<>();

    final List<SlotGrant> running = new ArrayList<>();
    private final Set<String> decided = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();
    private Map<String, Upstream> upstreams = new HashMap<>();

    void offered(QueuedRequest request) {
        waiting.put(request.requestId(), request);
    }

    void announced(List<Upstream> announced) {
        upstreams = new HashMap<>();
        announced.forEach(upstream -> upstreams.put(upstream.id(), upstream));
        leaving.retainAll(upstreams.keySet());
    }

    void released(SlotGrant grant, SlotResult result) {
        running.remove(grant);
        if (result.isLeaving() && upstreams.containsKey(grant.upstream().id())) {
            leaving.add(grant.upstream().id());
        }
    }

    int decisions() {
        return decided.size();
    }

    void check(List<AdmissionDecision> decisions, long nowMs) {
        for (AdmissionDecision decision : decisions) {
            String requestId = decision.requestId();
            assertWithMessage("second decision for " + requestId)
                    .that(decided.add(requestId))
                    .isTrue();
            QueuedRequest request = waiting.get(requestId);
            assertWithMessage("decision for a request that does not wait: " + requestId)
                    .that(request)
                    .isNotNull();
            if (decision instanceof AdmissionDecision.Granted granted) {
                checkGrant(request, granted.grant(), nowMs);
                running.add(granted.grant());
            } else if (decision instanceof AdmissionDecision.Refused refused && refused.code() == ErrorCode.SHED) {
                checkShed(request);
            } else if (decision instanceof AdmissionDecision.Expired) {
                assertWithMessage("expired early").that(request.deadlineMs()).isAtMost(nowMs);
            }
            waiting.remove(requestId);
        }
    }

    private void checkGrant(QueuedRequest request, SlotGrant grant, long nowMs) {
        Upstream upstream = upstreams.get(grant.upstream().id());
        assertWithMessage("granted an unknown upstream").that(upstream).isNotNull();
        assertWithMessage("granted a leaving upstream")
                .that(upstream.leaving() || leaving.contains(upstream.id()))
                .isFalse();
        assertWithMessage("granted an excluded upstream")
                .that(request.excludedUpstreams())
                .doesNotContain(upstream.id());
        assertWithMessage("granted past the deadline")
                .that(request.deadlineMs())
                .isGreaterThan(nowMs);
        long inUse = running.stream()
                .filter(each -> each.upstream().id().equals(upstream.id()))
                .count();
        assertWithMessage("slots in use of " + upstream.id()).that(inUse + 1).isAtMost((long) upstream.capacitySlots());
        for (QueuedRequest other : waiting.values()) {
            boolean passedOver = other.requestClass().tier().outranks(tier(request))
                    && !other.excludedUpstreams().contains(upstream.id());
            assertWithMessage("%s was served before %s", request.requestId(), other.requestId())
                    .that(passedOver && !mayHoldGuaranteedSlot(request))
                    .isFalse();
        }
    }

    private void checkShed(QueuedRequest shed) {
        for (QueuedRequest other : waiting.values()) {
            boolean lower = tier(shed).outranks(tier(other));
            assertWithMessage("%s was shed while %s waits", shed.requestId(), other.requestId())
                    .that(lower && !mayHoldGuaranteedSlot(other))
                    .isFalse();
        }
    }

    /** Only the oldest waiting request of a class with a guaranteed share may be served before higher tiers. */
    private boolean mayHoldGuaranteedSlot(QueuedRequest request) {
        if (request.requestClass().guaranteedShareRatio() == 0) {
            return false;
        }
        for (QueuedRequest other : waiting.values()) {
            if (other.requestClass().equals(request.requestClass())) {
                return other.equals(request);
            }
        }
        return false;
    }

    private static Tier tier(QueuedRequest request) {
        return request.requestClass().tier();
    }
}
