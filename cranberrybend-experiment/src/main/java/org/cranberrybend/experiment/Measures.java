package org.cranberrybend.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of one simulation run; section 1.2 of the design defines the measures.
 *
 * @param attainment fraction of the offered requests whose response was complete and met both latency targets, by class
 * @param topTierBurstAttainment the same for requests that arrived during bursts, as the minimum over the tier 0
 *     classes; plain services are not overloaded, and in a sum their many calls would hide the class of the model
 * @param lowestClassShare fraction of the tokens processed during bursts that belong to the lowest class
 * @param goodput prompt and output tokens per second of responses that met their targets
 * @param wastedRatio fraction of the processed tokens that did not contribute to a completed response
 * @param worstAccountRatio minimum over the client accounts of the ratio of completed tokens to the fair share
 * @param cost billed time in seconds of a guaranteed engine
 * @param tokensPerCost tokens of responses that met their targets, per unit of cost
 * @param preemptibleRatio tokens processed on preemptible engines for responses that met their targets, relative to the
 *     tokens of these responses
 * @param wrongReports number of completed requests whose billed output tokens differ from the delivered ones, and of
 *     non-idempotent requests executed more than once
 */
record Measures(
        Map<String, Double> attainment,
        @JsonProperty("top_tier_burst_attainment_ratio") double topTierBurstAttainment,
        @JsonProperty("lowest_class_share_ratio") double lowestClassShare,
        @JsonProperty("goodput_tokens_per_second") double goodput,
        @JsonProperty("wasted_ratio") double wastedRatio,
        @JsonProperty("worst_account_ratio") double worstAccountRatio,
        @JsonProperty("cost_engine_seconds") double cost,
        @JsonProperty("tokens_per_cost") double tokensPerCost,
        @JsonProperty("preemptible_ratio") double preemptibleRatio,
        @JsonProperty("wrong_reports") long wrongReports) {

    static Measures of(
            Deployment deployment, List<SimRequest> requests, List<Map<String, Double>> snapshots, double cost) {
        Map<String, double[]> counts = new LinkedHashMap<>();
        deployment.classes().forEach(spec -> counts.put(spec.requestClass().name(), new double[2]));
        double attainedTokens = 0;
        double processed = 0;
        double wasted = 0;
        double preemptible = 0;
        Map<String, double[]> top = new LinkedHashMap<>();
        long wrong = 0;
        for (SimRequest request : requests) {
            double attained = request.isAttained() ? 1 : 0;
            double[] count = counts.get(request.spec.requestClass().name());
            count[0] += attained;
            count[1]++;
            if (request.spec.requestClass().tier().number() == 0 && Deployment.isBurst(request.arrivalMs)) {
                double[] burst = top.computeIfAbsent(request.spec.requestClass().name(), name -> new double[2]);
                burst[0] += attained;
                burst[1]++;
            }
            attainedTokens += attained * request.totalTokens();
            preemptible += attained * request.preemptibleTokens;
            processed += request.processedTokens;
            wasted += request.wastedTokens();
            wrong += isWrong(request) ? 1 : 0;
        }
        Map<String, Double> attainment = new LinkedHashMap<>();
        counts.forEach((name, count) -> attainment.put(name, count[0] / count[1]));
        return new Measures(
                attainment,
                top.values().stream()
                        .mapToDouble(burst -> burst[0] / burst[1])
                        .min()
                        .orElseThrow(),
                lowestShare(deployment, snapshots),
                attainedTokens * 1_000 / Deployment.DURATION_MS,
                wasted / processed,
                worstAccount(requests),
                cost,
                attainedTokens / cost,
                preemptible / Math.max(1, attainedTokens),
                wrong);
    }

    private static boolean isWrong(SimRequest request) {
        boolean misbilled = request.isEngineWork()
                && request.state == SimRequest.State.COMPLETED
                && Math.abs(request.billedTokens - request.outputTokens) > 1e-3;
        return misbilled || (!request.spec.idempotent() && request.executions > 1);
    }

    /** Returns the class of the lowest tier. */
    static ClassSpec lowestClass(Deployment deployment) {
        ClassSpec lowest = null;
        for (ClassSpec spec : deployment.classes()) {
            if (lowest == null
                    || lowest.requestClass().tier().outranks(spec.requestClass().tier())) {
                lowest = spec;
            }
        }
        return lowest;
    }

    private static double lowestShare(Deployment deployment, List<Map<String, Double>> snapshots) {
        String lowest = lowestClass(deployment).requestClass().name();
        double own = 0;
        double all = 0;
        for (int index = 0; index + 1 < snapshots.size(); index += 2) {
            Map<String, Double> start = snapshots.get(index);
            Map<String, Double> end = snapshots.get(index + 1);
            for (String name : end.keySet()) {
                double tokens = end.get(name) - start.get(name);
                all += tokens;
                own += name.equals(lowest) ? tokens : 0;
            }
        }
        return own / all;
    }

    /**
     * Returns the minimum ratio of completed tokens to the fair share over the accounts. The tokens served in each tier
     * are divided fairly between its accounts, and the shares of an account are summed over the tiers.
     */
    private static double worstAccount(List<SimRequest> requests) {
        Map<Integer, Map<String, double[]>> tiers = new TreeMap<>();
        for (SimRequest request : requests) {
            double[] sums = tiers.computeIfAbsent(
                            request.spec.requestClass().tier().number(), tier -> new TreeMap<>())
                    .computeIfAbsent(request.account, account -> new double[2]);
            sums[0] += request.totalTokens();
            sums[1] += request.state == SimRequest.State.COMPLETED ? request.totalTokens() : 0;
        }
        Map<String, double[]> accounts = new TreeMap<>();
        for (Map<String, double[]> tier : tiers.values()) {
            double served = tier.values().stream().mapToDouble(sums -> sums[1]).sum();
            Map<String, Double> fair = fairShares(tier, served);
            tier.forEach((account, sums) -> {
                double[] total = accounts.computeIfAbsent(account, name -> new double[2]);
                total[0] += fair.get(account);
                total[1] += sums[1];
            });
        }
        return accounts.values().stream()
                .mapToDouble(total -> total[1] / Math.max(1, total[0]))
                .min()
                .orElseThrow();
    }

    /** Returns the max-min fair shares of the served tokens: equal, but none larger than the demand of the account. */
    private static Map<String, Double> fairShares(Map<String, double[]> tier, double served) {
        Map<String, Double> fair = new TreeMap<>();
        double remaining = served;
        int accountsLeft = tier.size();
        List<Map.Entry<String, double[]>> byDemand = tier.entrySet().stream()
                .sorted(Map.Entry.comparingByValue((left, right) -> Double.compare(left[0], right[0])))
                .toList();
        for (Map.Entry<String, double[]> entry : byDemand) {
            double share = Math.min(entry.getValue()[0], remaining / accountsLeft);
            fair.put(entry.getKey(), share);
            remaining -= share;
            accountsLeft--;
        }
        return fair;
    }
}
