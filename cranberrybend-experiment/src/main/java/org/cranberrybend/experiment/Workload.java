package org.cranberrybend.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** The arrivals of one deployment and seed, the same for every policy. */
final class Workload {
    /** Output lengths vary by a factor of about two either way, as callers cannot announce them. */
    private static final double LENGTH_SIGMA = 0.6;

    private Workload() {}

    /** Returns the arrivals in order of time. */
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

    /** Returns the rate of a class at nominal load 1, in requests per millisecond. */
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

    /** Returns the tokens per second that a reference engine serves of the deployment's mix. */
    static double engineTokensPerSecond(Deployment deployment) {
        double tokensPerMs = 0;
        double reference = 0;
        for (ClassSpec spec : deployment.classes()) {
            if (spec.service().equals(deployment.model())) {
                tokensPerMs += requestsPerMs(deployment, spec) * (spec.promptTokens() + spec.outputTokens());
            }
        }
        for (EngineSpec engine : deployment.engines()) {
            reference += engine.service().equals(deployment.model()) ? engine.speedRatio() : 0;
        }
        return tokensPerMs * 1_000 / reference;
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

    /** Callers arrive at zones in proportion to the engines that run there at the start. */
    private static String zone(Deployment deployment, double ratio) {
        List<EngineSpec> engines = deployment.engines().stream()
                .filter(engine -> engine.service().equals(deployment.model()))
                .toList();
        return engines.get((int) (ratio * engines.size())).zone();
    }
}
