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
 * The policies to compare with. Each uses the engines of the caller's region, knows nothing of classes, and leaves
 * requests beyond an engine's slots to the engine's own queue; FIFO instead keeps one queue per region and service.
 */
final class BaselinePolicy implements DispatchPolicy {
    /** How an engine is chosen. */
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
    private final Map<String, Integer> turns = new HashMap<>();
    private final Map<String, String> regions = new HashMap<>();
    /** Exact counts of the FIFO queue's own requests in flight. */
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
            act(nowMs);
            return;
        }
        List<EngineModel> usable = usable(request);
        if (usable.isEmpty()) {
            actions.refuse(request);
            return;
        }
        EngineModel engine =
                switch (choice) {
                    case RANDOM -> usable.get(random.nextInt(usable.size()));
                    case ROUND_ROBIN -> usable.get(
                            turns.merge(request.zone + request.spec.service(), 1, Integer::sum) % usable.size());
                    default -> leastLoaded(usable);
                };
        actions.send(request, engine, nowMs);
    }

    private EngineModel leastLoaded(List<EngineModel> usable) {
        int least =
                usable.stream().mapToInt(engine -> engine.reportedLoad).min().orElseThrow();
        List<EngineModel> equal =
                usable.stream().filter(engine -> engine.reportedLoad == least).toList();
        return equal.get(random.nextInt(equal.size()));
    }

    private List<EngineModel> usable(SimRequest request) {
        List<EngineModel> usable = new ArrayList<>();
        for (EngineModel engine : engines) {
            if (engine.spec.service().equals(request.spec.service())
                    && engine.spec.region().equals(regions.get(request.zone))
                    && !request.excluded.contains(engine.id)) {
                usable.add(engine);
            }
        }
        return usable;
    }

    @Override
    public void ended(SimRequest request, EngineModel engine, SlotOutcome outcome, long nowMs) {
        inFlight.merge(engine.id, -1, Integer::sum);
        act(nowMs);
    }

    @Override
    public void withdrawn(SimRequest request, long nowMs) {
        queue.remove(request);
    }

    @Override
    public void announced(List<EngineModel> listed, long nowMs) {
        listed.forEach(engine -> regions.put(engine.spec.zone(), engine.spec.region()));
        engines = listed.stream().filter(engine -> !engine.leaving).toList();
        act(nowMs);
    }

    @Override
    public void act(long nowMs) {
        Set<String> blocked = new LinkedHashSet<>();
        Iterator<SimRequest> waiting = List.copyOf(queue).iterator();
        while (waiting.hasNext()) {
            SimRequest request = waiting.next();
            String line = regions.get(request.zone) + "/" + request.spec.service();
            EngineModel engine = blocked.contains(line)
                    ? null
                    : usable(request).stream()
                            .filter(each -> inFlight.getOrDefault(each.id, 0) < each.spec.slots())
                            .min(Comparator.comparingInt(each -> inFlight.getOrDefault(each.id, 0)))
                            .orElse(null);
            if (engine == null) {
                blocked.add(line);
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
