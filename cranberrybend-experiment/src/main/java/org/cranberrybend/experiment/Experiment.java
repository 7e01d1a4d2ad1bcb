package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.cranberrybend.core.admission.DispatchSettings;

/** Runs the router's policy and the baselines on identical arrivals. */
final class Experiment {
    /** Label of the policy under test. */
    static final String ROUTER = "cranberrybend";

    /**
     * Results of all policies for one workload.
     *
     * @param deployment deployment that defines the workload
     * @param seed seed of the arrivals and of the random choices
     * @param byPolicy measures by policy
     * @param bounds bounds with the values of the router's policy
     */
    record Result(Deployment deployment, long seed, Map<String, Measures> byPolicy, List<BoundResult> bounds) {}

    private Experiment() {}

    static Result run(Deployment deployment, long seed, DispatchSettings settings) {
        List<SimRequest> arrivals = Workload.arrivals(deployment, seed);
        Map<String, Measures> byPolicy = new LinkedHashMap<>();
        byPolicy.put(
                ROUTER, new Simulation(deployment, arrivals, actions -> new RouterPolicy(actions, settings)).run());
        for (BaselinePolicy.Choice choice : BaselinePolicy.Choice.values()) {
            Simulation simulation = new Simulation(
                    deployment,
                    arrivals,
                    actions -> new BaselinePolicy(
                            choice, actions, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + choice.ordinal())));
            byPolicy.put(choice.label(), simulation.run());
        }
        return new Result(deployment, seed, byPolicy, BoundResult.of(deployment, byPolicy));
    }

    static List<Result> runAll(List<Deployment> deployments, List<Long> seeds, DispatchSettings settings) {
        List<Result> results = new ArrayList<>();
        for (Deployment deployment : deployments) {
            for (long seed : seeds) {
                results.add(run(deployment, seed, settings));
            }
        }
        return results;
    }
}
