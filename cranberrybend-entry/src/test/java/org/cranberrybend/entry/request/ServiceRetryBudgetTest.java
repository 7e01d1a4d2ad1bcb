package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 170;

    private int knownInstances;

    private static int taken(ServiceRetryBudget budget, int requested) {
        int taken = 0;
        for (int i = 0; i < requested; i++) {
            taken += budget.tryAcquire("model") ? 1 : 0;
        }
        return taken;
    }

    // Guards against the instances of a large fleet together exceeding the configured number of retries.
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 65, 130})
    void instancesTogetherStayWithinTheAllowance(int instances) {
        knownInstances = instances;
        int total = 0;
        int requests = 0;
        for (int i = 0; i < instances; i++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, ALLOWANCE, () -> knownInstances);
            for (int request = 0; request < 50; request++) {
                budget.recordRequest("model");
                requests++;
                total += taken(budget, 3);
            }
        }
        assertThat((double) total).isAtMost(RATIO * requests + ALLOWANCE);
    }

    // Guards against an instance using the whole allowance while it does not know the size of the fleet.
    @Test
    void shareIsSmallWhileTheFleetSizeIsUnknown() {
        assertThat(taken(new ServiceRetryBudget(RATIO, ALLOWANCE, () -> 0), 100))
                .isAtMost(2);
    }

    // Guards against keeping a share that was computed before the other instances had registered.
    @Test
    void shareShrinksWhenInstancesJoin() {
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        knownInstances = 1;
        for (int i = 0; i < 60; i++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, ALLOWANCE, () -> knownInstances);
            budget.recordRequest("model");
            budgets.add(budget);
        }
        knownInstances = 60;
        int total = budgets.stream().mapToInt(budget -> taken(budget, 100)).sum();
        assertThat((double) total).isAtMost(ALLOWANCE);
    }
}
