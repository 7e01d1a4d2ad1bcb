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

    private int known;

    private static int taken(ServiceRetryBudget budget, int tries) {
        int taken = 0;
        for (int i = 0; i < tries; i++) {
            taken += budget.tryTake("model") ? 1 : 0;
        }
        return taken;
    }

    // Guards against a large fleet whose instances together repeat more than the operator allows.
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 65, 130})
    void instancesTogetherStayWithinTheAllowance(int instances) {
        known = instances;
        int total = 0;
        int requests = 0;
        for (int i = 0; i < instances; i++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, ALLOWANCE, () -> known);
            for (int request = 0; request < 50; request++) {
                budget.recordRequest("model");
                requests++;
                total += taken(budget, 3);
            }
        }
        assertThat((double) total).isAtMost(RATIO * requests + ALLOWANCE);
    }

    // Guards against an instance that knows no other one and takes the whole allowance.
    @Test
    void instanceThatKnowsNobodyTakesASmallPart() {
        assertThat(taken(new ServiceRetryBudget(RATIO, ALLOWANCE, () -> 0), 100))
                .isAtMost(2);
    }

    // Guards against a part that was computed before the other instances had registered.
    @Test
    void partShrinksWhenInstancesJoin() {
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        known = 1;
        for (int i = 0; i < 60; i++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, ALLOWANCE, () -> known);
            budget.recordRequest("model");
            budgets.add(budget);
        }
        known = 60;
        int total = budgets.stream().mapToInt(budget -> taken(budget, 100)).sum();
        assertThat((double) total).isAtMost(ALLOWANCE);
    }
}
