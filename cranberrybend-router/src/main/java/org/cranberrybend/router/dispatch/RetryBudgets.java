package org.cranberrybend.router.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.retry.RetryBudget;

/** Retry budgets by request class. The lock is held for arithmetic only. */
final class RetryBudgets {
    private static final double RATIO = 0.1;
    // Lets a small instance retry after a single upstream failed all its streams at once.
    private static final double CAPACITY = 20;

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    void recordSuccess(String className) {
        synchronized (budgets) {
            budget(className).recordSuccess();
        }
    }

    boolean tryTake(String className) {
        synchronized (budgets) {
            return budget(className).tryAcquire();
        }
    }

    private RetryBudget budget(String className) {
        return budgets.computeIfAbsent(className, ignored -> new RetryBudget(RATIO, CAPACITY));
    }
}
