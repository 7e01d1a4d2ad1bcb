package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.cranberrybend.core.admission.SlotOutcome;

/**
 * The baselines. Each uses only the engines of the caller's region and ignores request classes. Requests beyond an
 * engine's slots wait in the queue of the engine; FIFO instead keeps one queue per region and service.
 */
final class BaselinePolicy implements DispatchPolicy {
    /** Rule by which an engine is chosen. */
    enum Choice {
        RANDOM("random"),
        ROUND_ROBIN("round-robin"),
        LEAST_LOADED("least-loaded"),
        FIFO("fifo");

        private final String label;

        Choice(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    private final Choice choice;
    private final Actions actions;
    private final UniformRandomProvider random;
    private final Map<String, Integer> roundRobinCounters = new HashMap<>();
    private final Map<String, String> regions = new HashMap<>();
    /** Requests in flight by engine; only those sent by FIFO are counted. */
    private final Map<String, Integer> inFlight = new HashMap<>();

    private final Set<SimRequest> queue = new LinkedHashSet<>();
    private List<EngineModel> engines = List.of();

    BaselinePolicy(Choice choice, Actions actions, UniformRandomProvider random) {
        this.choice = choice;
        this.actions = actions;
        this.random = random;
    }

    @Override
    public void offer(SimRequest request, long nowMs) {
        if (choice == Choice.FIFO) {
            queue.add(request);
            dispatch(nowMs);
            return;
        }
        List<EngineModel> candidates = candidates(request);
        if (candidates.isEmpty()) {
            actions.refuse(request);
            return;
        }
        EngineModel engine =
                switch (choice) {
                    case RANDOM -> candidates.get(random.nextInt(candidates.size()));
                    case ROUND_ROBIN -> candidates.get(
                            roundRobinCounters.merge(request.zone + request.spec.service(), 1, Integer::sum)
                                    % candidates.size());
                    default -> leastLoaded(candidates);
                };
        actions.send(request, engine, nowMs);
    }

    private EngineModel leastLoaded(List<EngineModel> candidates) {
        int least = candidates.stream()
                .mapToInt(engine -> engine.reportedLoad)
                .min()
                .orElseThrow();
        List<EngineModel> tied = candidates.stream()
                .filter(engine -> engine.reportedLoad == least)
                .toList();
        return tied.get(random.nextInt(tied.size()));
    }

    private List<EngineModel> candidates(SimRequest request) {
        List<EngineModel> candidates = new ArrayList<>();
        for (EngineModel engine : engines) {
            if (engine.spec.service().equals(request.spec.service())
                    && engine.spec.region().equals(regions.get(request.zone))
                    && !request.excluded.contains(engine.id)) {
                candidates.add(engine);
            }
        }
        return candidates;
    }

    @Override
    public void onAttemptEnded(SimRequest request, EngineModel engine, SlotOutcome outcome, long nowMs) {
        inFlight.merge(engine.id, -1, Integer::sum);
        dispatch(nowMs);
    }

    @Override
    public void onCallerDisconnected(SimRequest request, long nowMs) {
        queue.remove(request);
    }

    @Override
    public void onUpstreamList(List<EngineModel> listed, long nowMs) {
        listed.forEach(engine -> regions.put(engine.spec.zone(), engine.spec.region()));
        engines = listed.stream().filter(engine -> !engine.leaving).toList();
        dispatch(nowMs);
    }

    @Override
    public void dispatch(long nowMs) {
        Set<String> blocked = new LinkedHashSet<>();
        Iterator<SimRequest> iterator = List.copyOf(queue).iterator();
        while (iterator.hasNext()) {
            SimRequest request = iterator.next();
            String queueKey = regions.get(request.zone) + "/" + request.spec.service();
            EngineModel engine = blocked.contains(queueKey)
                    ? null
                    : candidates(request).stream()
                            .filter(each -> inFlight.getOrDefault(each.id, 0) < each.spec.slots())
                            .min(Comparator.comparingInt(each -> inFlight.getOrDefault(each.id, 0)))
                            .orElse(null);
            if (engine == null) {
                blocked.add(queueKey);
                continue;
            }
            queue.remove(request);
            inFlight.merge(engine.id, 1, Integer::sum);
            actions.send(request, engine, nowMs);
        }
    }

    @Override
    public OptionalLong nextDispatchMs(long nowMs) {
        return OptionalLong.empty();
    }
}
