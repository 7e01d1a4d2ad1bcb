package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the arrivals of a deployment from a seed; every policy gets the same. */
final class Workload {
    /**
     * Standard deviation of the logarithm of prompt and output lengths: one deviation is a factor of about 1.8. Callers
     * cannot announce the output length.
     */
    private static final double LENGTH_SIGMA = 0.6;

    private Workload() {}

    /** Returns the arrivals ordered by time. */
    static List<SimRequest> arrivals(Deployment deployment, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ZigguratSampler.Exponential exponential = ZigguratSampler.Exponential.of(random);
        SharedStateContinuousSampler length = LogNormalSampler.of(
                ZigguratSampler.NormalizedGaussian.of(random), -LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA);
        List<SimRequest> arrivals = new ArrayList<>();
        for (ClassSpec spec : deployment.classes()) {
            double perMs = requestsPerMs(deployment, spec);
            double atMs = 0;
            while (true) {
                atMs += exponential.sample() / (perMs * deployment.loadRatio((long) atMs));
                if (atMs >= Deployment.DURATION_MS) {
                    break;
                }
                double promptTokens = Math.rint(spec.promptTokens() * length.sample());
                double outputTokens =
                        Math.min(spec.maxOutputTokens(), Math.max(2, Math.rint(spec.outputTokens() * length.sample())));
                arrivals.add(new SimRequest(
                        0,
                        spec,
                        account(random.nextDouble()),
                        zone(deployment, random.nextDouble()),
                        (long) atMs,
                        promptTokens,
                        outputTokens));
            }
        }
        arrivals.sort(Comparator.comparingLong(request -> request.arrivalMs));
        List<SimRequest> numbered = new ArrayList<>();
        for (SimRequest each : arrivals) {
            numbered.add(new SimRequest(
                    numbered.size(),
                    each.spec,
                    each.account,
                    each.zone,
                    each.arrivalMs,
                    each.promptTokens,
                    each.outputTokens));
        }
        return numbered;
    }

    /** Returns the arrival rate of a class at a load ratio of 1, in requests per millisecond. */
    static double requestsPerMs(Deployment deployment, ClassSpec spec) {
        double rate = 0;
        for (EngineSpec engine : deployment.engines()) {
            if (engine.service().equals(spec.service())) {
                double slotMs = spec.promptTokens() == 0
                        ? spec.outputTokens()
                        : engine.fullBatchMs(spec.promptTokens(), spec.outputTokens());
                rate += engine.slots() / slotMs;
            }
        }
        return rate * spec.loadRatio();
    }

    /** Returns the tokens per second that a reference engine processes with the deployment's mix of classes. */
    static double engineTokensPerSecond(Deployment deployment) {
        double tokensPerMs = 0;
        double referenceEngines = 0;
        for (ClassSpec spec : deployment.classes()) {
            if (spec.service().equals(deployment.model())) {
                tokensPerMs += requestsPerMs(deployment, spec) * (spec.promptTokens() + spec.outputTokens());
            }
        }
        for (EngineSpec engine : deployment.engines()) {
            referenceEngines += engine.service().equals(deployment.model()) ? engine.speedRatio() : 0;
        }
        return tokensPerMs * 1_000 / referenceEngines;
    }

    private static String account(double ratio) {
        double rest = ratio;
        int account = 0;
        while (account < Deployment.ACCOUNTS - 1 && rest >= Deployment.accountRatio(account)) {
            rest -= Deployment.accountRatio(account);
            account++;
        }
        return "account-" + account;
    }

    /** Maps a uniform random number to a zone, with probabilities proportional to the initial engines of the zones. */
    private static String zone(Deployment deployment, double ratio) {
        List<EngineSpec> engines = deployment.engines().stream()
                .filter(engine -> engine.service().equals(deployment.model()))
                .toList();
        return engines.get((int) (ratio * engines.size())).zone();
    }
}
