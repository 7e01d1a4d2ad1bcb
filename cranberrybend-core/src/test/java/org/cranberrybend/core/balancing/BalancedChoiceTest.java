package org.cranberrybend.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.cranberrybend.core.balancing.BalancingSimulation.Policy;
import org.cranberrybend.core.balancing.BalancingSimulation.Result;
import org.cranberrybend.core.balancing.BalancingSimulation.View;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BalancedChoiceTest {
    private static final long SEED = 20261206;
    private static final double UTILIZATION = 0.7;
    private static final int REQUESTS = 30_000;
    private static final double MAX_REPORT_AGE_MS = 1_500;

    /** The rule before: fewest requests by the last report and own changes since; the first of equal ones. */
    private static double formerLoad(View view, int upstream) {
        if (view.nowMs - view.reportedAtMs[upstream] > MAX_REPORT_AGE_MS) {
            return view.own[upstream];
        }
        return Math.max(view.own[upstream], view.reported[upstream] + view.own[upstream] - view.ownAtReport[upstream]);
    }

    private static int former(View view, Random random) {
        int best = 0;
        for (int i = 1; i < view.own.length; i++) {
            if (formerLoad(view, i) < formerLoad(view, best)) {
                best = i;
            }
        }
        return best;
    }

    private static int twoChoices(View view, Random random) {
        int first = random.nextInt(view.own.length);
        int second = random.nextInt(view.own.length);
        return formerLoad(view, second) < formerLoad(view, first) ? second : first;
    }

    /** Fewest requests by the last report alone, whatever its age; a random one of equal ones. */
    private static int leastReported(View view, Random random) {
        int best = 0;
        int equal = 0;
        for (int i = 0; i < view.own.length; i++) {
            if (view.reported[i] < view.reported[best]) {
                best = i;
                equal = 1;
            } else if (view.reported[i] == view.reported[best] && random.nextInt(++equal) == 0) {
                best = i;
            }
        }
        return best;
    }

    private static Policy balanced(long seed) {
        BalancedChoice choice = new BalancedChoice(new Random(seed));
        return (view, random) -> {
            choice.clear();
            for (int i = 0; i < view.own.length; i++) {
                double ageMs = view.nowMs - view.reportedAtMs[i];
                double others = Math.max(0, view.reported[i] - view.ownAtReport[i]);
                double load = view.own[i] + others * view.service.remainingRatio(ageMs);
                choice.add(
                        load / view.slots,
                        view.slots,
                        view.service.arrivalsUntilNextReport(ageMs, view.slots, view.instances));
            }
            return choice.draw();
        };
    }

    // Guards against instances that all choose the same upstreams by the same outdated reports, and against randomness
    // that costs more than it gains where few instances know nearly everything. Waits that the best alternative has are
    // exceeded in two rows only: with two instances, and with reports far fresher than requests are long.
    @ParameterizedTest
    @CsvSource({
        "2, 6, 6, 60, 100, 1.3, 1.1",
        "2, 6, 6, 600, 1000, 1.3, 1.1",
        "6, 3, 6, 60, 300, 1.2, 1.1",
        "6, 3, 6, 300, 3000, 1.2, 1.1",
        "6, 6, 16, 1000, 300, 1.3, 1.1",
        "20, 12, 6, 60, 100, 1, 1",
        "20, 12, 16, 800, 400, 1.2, 1.1",
        "20, 12, 16, 800, 3000, 1, 1",
        "90, 98, 6, 60, 100, 1, 1",
        "90, 98, 6, 60, 1000, 1, 1",
        "90, 98, 16, 800, 100, 2.5, 1.1",
        "90, 98, 16, 800, 700, 1, 1",
        "90, 98, 16, 800, 3000, 1, 1",
        "300, 98, 16, 1000, 100, 2.5, 1.1",
        "300, 98, 64, 1000, 700, 1, 1",
        "300, 98, 16, 1000, 3000, 1, 1"
    })
    void loadIsEvenDespiteOutdatedReports(
            int instances,
            int upstreams,
            int slots,
            double durationMs,
            double exchangeMs,
            double maxWaitRatio,
            double maxBusiestRatio) {
        Policy[] policies = {
            BalancedChoiceTest::former,
            BalancedChoiceTest::twoChoices,
            BalancedChoiceTest::leastReported,
            balanced(SEED)
        };
        StringBuilder line = new StringBuilder();
        double leastWaitMs = Double.MAX_VALUE;
        double leastBusiest = Double.MAX_VALUE;
        Result result = null;
        for (Policy policy : policies) {
            if (result != null) {
                leastWaitMs = Math.min(leastWaitMs, result.waitMs());
                leastBusiest = Math.min(leastBusiest, result.busiestToMean());
            }
            result = new BalancingSimulation(instances, upstreams, slots, UTILIZATION, durationMs, exchangeMs, SEED)
                    .run(policy, REQUESTS);
            line.append(String.format(" | %.2f, %.0f ms", result.busiestToMean(), result.waitMs()));
        }
        System.out.printf(
                "seed %d, %d instances, %d upstreams, %d slots, %.0f ms, exchange %.0f ms%s%n",
                SEED, instances, upstreams, slots, durationMs, exchangeMs, line);
        assertThat(result.waitMs()).isAtMost(leastWaitMs * maxWaitRatio + 1);
        assertThat(result.busiestToMean()).isAtMost(leastBusiest * maxBusiestRatio);
    }
}
