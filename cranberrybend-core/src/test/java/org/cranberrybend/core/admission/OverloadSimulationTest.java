package org.cranberrybend.core.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.admission.OverloadSimulation.Outcome;
import org.cranberrybend.core.admission.OverloadSimulation.Scenario;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each case runs with the rules and, as the baseline, without them: the requests are then sent at once. */
class OverloadSimulationTest {
    private static final int SEEDS = 6;
    private static final long END_MS = 20_000;
    private static final double CAPACITY = OverloadSimulation.CAPACITY_PER_S;

    /** Age from which a load report is not used, and the time of one more report. */
    private static final long REPORTS_USED_MS = 3_100;

    private static double inTimeRatio(Map<String, Outcome> outcomes) {
        double inTime = 0;
        double requests = 0;
        for (String account : new String[] {"a", "b", "c", "d"}) {
            inTime += outcomes.get(account).inTime;
            requests += outcomes.get(account).requests;
        }
        return inTime / requests;
    }

    // Guards against rules that serve the ordinary accounts worse than before, or that act in calm or without reports.
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        // name, load of four accounts each, load of the largest one, returning, bursts, end of reports, gain, held
        "calm,               0.10, 0.10, 0.0, 1, 20000, 0.00, false",
        "one account 7x,     0.15, 1.05, 0.0, 1, 20000, 0.15, true",
        "half return at once,0.15, 1.05, 0.5, 1, 20000, 0.15, true",
        "load of 1.5,        0.30, 0.30, 0.0, 1, 20000, 0.00, true",
        "bursts of 5,        0.10, 0.10, 0.0, 5, 20000, 0.00, true",
        "reports stop,       0.15, 1.05, 0.0, 1, 10000, 0.05, true",
        "no reports,         0.15, 1.05, 0.0, 1, -1,    0.00, false",
    })
    void ordinaryAccountsAreServedNoWorse(
            String name,
            double ordinary,
            double largest,
            double returning,
            double burst,
            long reportsEndMs,
            double gain,
            boolean held) {
        Map<String, Double> rates = new TreeMap<>();
        for (String account : new String[] {"a", "b", "c", "d"}) {
            rates.put(account, ordinary * CAPACITY);
        }
        rates.put("largest", largest * CAPACITY);
        double gained = 0;
        StringBuilder report = new StringBuilder(name);
        for (long seed = 1; seed <= SEEDS; seed++) {
            OverloadSimulation before =
                    new OverloadSimulation(new Scenario(false, rates, returning, reportsEndMs, burst, END_MS), seed);
            OverloadSimulation after =
                    new OverloadSimulation(new Scenario(true, rates, returning, reportsEndMs, burst, END_MS), seed);
            double baseline = inTimeRatio(before.run());
            double admitted = inTimeRatio(after.run());
            gained += (admitted - baseline) / SEEDS;
            report.append(String.format(
                    "; seed %d: ordinary accounts in time %.3f before, %.3f after, %d waited",
                    seed, baseline, admitted, after.held()));
            assertWithMessage(report.toString()).that(after.held() > 0).isEqualTo(held);
            assertWithMessage(report.toString())
                    .that(after.lastHeldMs())
                    .isAtMost(Math.max(0, reportsEndMs + REPORTS_USED_MS));
        }
        System.out.println(report);
        assertWithMessage(report.toString()).that(gained).isAtLeast(gain);
    }
}
