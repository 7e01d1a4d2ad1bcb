package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cranberrybend.core.admission.AdmissionDecision;
import org.cranberrybend.core.admission.DispatchQueue;
import org.cranberrybend.core.admission.DispatchSettings;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.routing.LinkBudget;
import org.cranberrybend.core.routing.PoolKey;
import org.cranberrybend.core.routing.ZonePreference;

/**
 * The policy of the router, with the router's own decision code: one queue per pool; a request that a pool refuses is
 * offered to the pools of the other zones in order of preference.
 */
final class RouterPolicy implements DispatchPolicy {
    private static final double LINK_BYTES_PER_SECOND = 250_000;
    private static final double LINK_BURST_BYTES = 500_000;
    private static final long BYTES_PER_TOKEN = 200;

    private final Actions actions;
    private final DispatchSettings settings;
    private final Map<PoolKey, DispatchQueue> queues = new LinkedHashMap<>();
    private final Map<String, ZonePreference> preferences = new HashMap<>();
    private final Map<String, LinkBudget> budgets = new HashMap<>();
    private final Map<String, String> regions = new LinkedHashMap<>();
    private final Map<String, EngineModel> engines = new HashMap<>();
    private final Map<String, SimRequest> requests = new HashMap<>();
    /** Zones to which a request has not been offered yet, by request id. */
    private final Map<String, List<String>> remainingZones = new HashMap<>();

    private final Map<String, DispatchQueue> queueByRequest = new HashMap<>();

    RouterPolicy(Actions actions, DispatchSettings settings) {
        this.actions = actions;
        this.settings = settings;
    }

    @Override
    public void offer(SimRequest request, long nowMs) {
        requests.put(request.id(), request);
        LinkBudget budget = budgets.computeIfAbsent(
                request.zone, zone -> new LinkBudget(LINK_BYTES_PER_SECOND, LINK_BURST_BYTES, nowMs));
        ZonePreference preference =
                preferences.computeIfAbsent(request.zone, zone -> new ZonePreference(zone, regions.get(zone), budget));
        remainingZones.put(request.id(), new ArrayList<>(preference.order(regions, bytes(request), nowMs)));
        offerNext(request, nowMs);
    }

    private static long bytes(SimRequest request) {
        return Math.round(request.promptTokens + request.spec.outputTokens()) * BYTES_PER_TOKEN;
    }

    private void offerNext(SimRequest request, long nowMs) {
        List<String> zones = remainingZones.get(request.id());
        if (zones.isEmpty()) {
            queueByRequest.remove(request.id());
            actions.refuse(request);
            return;
        }
        String zone = zones.remove(0);
        boolean usesLink = preferences.get(request.zone).usesLink(zone, regions.get(zone));
        DispatchQueue queue = queues.get(new PoolKey(zone, request.spec.service()));
        if (queue == null || (usesLink && !budgets.get(request.zone).tryAcquire(bytes(request), nowMs))) {
            offerNext(request, nowMs);
            return;
        }
        queueByRequest.put(request.id(), queue);
        apply(queue.offer(toQueuedRequest(request), nowMs), nowMs);
    }

    private static QueuedRequest toQueuedRequest(SimRequest request) {
        return new QueuedRequest(
                request.id(),
                request.spec.service(),
                request.spec.requestClass(),
                request.account,
                1,
                Math.round(request.promptTokens + request.deliveredTokens),
                request.isEngineWork() ? request.spec.maxOutputTokens() : 0,
                request.arrivalMs,
                request.arrivalMs + request.spec.callerTimeoutMs(),
                request.excluded);
    }

    private void apply(List<AdmissionDecision> decisions, long nowMs) {
        for (AdmissionDecision decision : decisions) {
            SimRequest request = requests.get(decision.requestId());
            if (decision instanceof AdmissionDecision.Granted granted) {
                request.slotId = granted.grant().slotId();
                actions.send(request, engines.get(granted.grant().upstream().id()), nowMs);
            } else if (decision instanceof AdmissionDecision.Refused) {
                offerNext(request, nowMs);
            } else {
                actions.refuse(request);
            }
        }
    }

    @Override
    public void onAttemptEnded(SimRequest request, EngineModel engine, SlotOutcome outcome, long nowMs) {
        apply(queueByRequest.get(request.id()).release(request.slotId, outcome, nowMs), nowMs);
    }

    @Override
    public void onCallerDisconnected(SimRequest request, long nowMs) {
        DispatchQueue queue = queueByRequest.get(request.id());
        if (queue != null) {
            queue.cancel(request.id());
        }
    }

    @Override
    public void onUpstreamList(List<EngineModel> listed, long nowMs) {
        Map<PoolKey, List<EngineModel>> pools = new LinkedHashMap<>();
        queues.keySet().forEach(pool -> pools.put(pool, new ArrayList<>()));
        for (EngineModel engine : listed) {
            engines.put(engine.id, engine);
            regions.put(engine.spec.zone(), engine.spec.region());
            PoolKey pool = new PoolKey(engine.spec.zone(), engine.spec.service());
            pools.computeIfAbsent(pool, key -> new ArrayList<>()).add(engine);
        }
        pools.forEach((pool, poolEngines) -> {
            DispatchQueue queue = queues.computeIfAbsent(
                    pool, key -> new DispatchQueue(settings, "router", key.zone() + "/" + key.service() + "-"));
            apply(
                    queue.setUpstreams(
                            poolEngines.stream().map(EngineModel::toUpstream).toList(), nowMs),
                    nowMs);
        });
    }

    @Override
    public void dispatch(long nowMs) {
        for (DispatchQueue queue : queues.values()) {
            apply(queue.dispatch(nowMs), nowMs);
        }
    }

    @Override
    public OptionalLong nextDispatchMs(long nowMs) {
        return queues.values().stream()
                .map(queue -> queue.nextDispatchMs(nowMs))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }
}
