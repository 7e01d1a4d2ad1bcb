package org.cranberrybend.experiment;

import java.util.List;
import java.util.Map;

/**
 * A bound from section 1.2 of the design with the measured value. The bounds are fixed and must not be changed.
 *
 * @param name name of the bounded quantity
 * @param measured measured value
 * @param bound lower or upper bound of the measured value
 * @param pass whether the measured value is within the bound
 */
record BoundResult(String name, double measured, double bound, boolean pass) {
    private static final double TOP_TIER_ATTAINMENT = 0.99;
    private static final double GOODPUT_RATIO = 1.3;
    private static final double WORST_ACCOUNT_RATIO = 0.8;
    private static final double WASTED_RATIO = 0.02;

    static List<BoundResult> of(Deployment deployment, Map<String, Measures> byPolicy) {
        Measures router = byPolicy.get(Experiment.ROUTER);
        Measures leastLoaded = byPolicy.get(BaselinePolicy.Choice.LEAST_LOADED.label());
        double guaranteed = Measures.lowestClass(deployment).requestClass().guaranteedShareRatio();
        return List.of(
                atLeast(
                        "top-tier attainment at 1.5 times capacity",
                        router.topTierBurstAttainment(),
                        TOP_TIER_ATTAINMENT),
                atLeast("share of the lowest class at 1.5 times capacity", router.lowestClassShare(), guaranteed),
                atLeast("goodput over least-loaded", router.goodput() / leastLoaded.goodput(), GOODPUT_RATIO),
                atLeast("worst-served account", router.worstAccountRatio(), WORST_ACCOUNT_RATIO),
                new BoundResult(
                        "wasted tokens", router.wastedRatio(), WASTED_RATIO, router.wastedRatio() < WASTED_RATIO),
                new BoundResult("wrong or duplicate reports", router.wrongReports(), 0, router.wrongReports() == 0));
    }

    private static BoundResult atLeast(String name, double measured, double bound) {
        return new BoundResult(name, measured, bound, measured >= bound);
    }
}
