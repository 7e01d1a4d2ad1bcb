package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 170;

    private static final long WINDOW_MS = 10_000;

    private final TestClock clock = new TestClock();
    private int knownInstances;

    /** Returns the budget of a process that has run for a window, so that it may use its share of the allowance. */
    private ServiceRetryBudget budgetWithSavings() {
        ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, ALLOWANCE, () -> knownInstances, clock);
        clock.advance(WINDOW_MS);
        return budget;
    }

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
            ServiceRetryBudget budget = budgetWithSavings();
            for (int request = 0; request < 50; request++) {
                budget.recordRequest("model");
                requests++;
                total += taken(budget, 3);
            }
        }
        assertThat((double) total).isAtMost(RATIO * requests + ALLOWANCE);
    }

    // Guards against an instance using the whole allowance while the size of the fleet is unknown to it.
    @Test
    void shareIsSmallWhileTheFleetSizeIsUnknown() {
        assertThat(taken(budgetWithSavings(), 100)).isAtMost(2);
    }

    // Guards against keeping a share that was computed before the other instances had registered.
    @Test
    void shareShrinksWhenInstancesJoin() {
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        knownInstances = 1;
        for (int i = 0; i < 60; i++) {
            ServiceRetryBudget budget = budgetWithSavings();
            budget.recordRequest("model");
            budgets.add(budget);
        }
        knownInstances = 60;
        int total = budgets.stream().mapToInt(budget -> taken(budget, 100)).sum();
        assertThat((double) total).isAtMost(ALLOWANCE);
    }

    // Guards against a budget that never gives out its allowance: without it, a service with few requests has no retry.
    @Test
    void shareIsAvailableAfterAWindow() {
        knownInstances = 4;
        assertThat(taken(budgetWithSavings(), 100)).isEqualTo(34);
    }

    private record Event(long atMs, int retries) {}

    // Guards against more retries in a window than the fleet may send, because processes that were killed and started
    // again had their whole share once more (review/5). The oracle adds up all instances over each window.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noWindowExceedsTheBudgetThroughRestarts(long seed) {
        System.out.println("seed " + seed);
        Random random = new Random(seed);
        knownInstances = 2 + random.nextInt(30);
        ServiceRetryBudget[] budgets = new ServiceRetryBudget[knownInstances];
        List<Event> events = new ArrayList<>();
        double restartRatio = random.nextBoolean() ? 0.002 : 0.0002;
        boolean overloaded = true;
        for (int step = 0; step < 6_000; step++) {
            clock.advance(random.nextInt(20));
            overloaded = random.nextInt(300) == 0 ? !overloaded : overloaded;
            if (step == 0 || random.nextDouble() < restartRatio) {
                Arrays.setAll(budgets, i -> new ServiceRetryBudget(RATIO, ALLOWANCE, () -> knownInstances, clock));
            }
            ServiceRetryBudget budget = budgets[random.nextInt(knownInstances)];
            budget.recordRequest("model");
            events.add(new Event(clock.monotonicMs(), overloaded ? taken(budget, 3) : 0));
        }
        int first = 0;
        int retries = 0;
        for (int last = 0; last < events.size(); last++) {
            retries += events.get(last).retries;
            while (events.get(first).atMs <= events.get(last).atMs - WINDOW_MS) {
                retries -= events.get(first++).retries;
            }
            assertThat((double) retries).isAtMost(RATIO * (last - first + 1) + ALLOWANCE);
        }
    }
}
