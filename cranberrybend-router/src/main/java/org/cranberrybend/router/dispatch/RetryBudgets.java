package org.cranberrybend.router.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.retry.RetryBudget;

/** Retry budgets by request class. Critical sections only compute and never block. */
final class RetryBudgets {
    private static final double RATIO = 0.1;
    // Allows an instance with little traffic to retry when one upstream fails all its streams at once.
    private static final double CAPACITY = 20;

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    void recordSuccess(String className) {
        synchronized (budgets) {
            budget(className).recordSuccess();
        }
    }

    boolean tryAcquire(String className) {
        synchronized (budgets) {
            return budget(className).tryAcquire();
        }
    }

    private RetryBudget budget(String className) {
        return budgets.computeIfAbsent(className, ignored -> new RetryBudget(RATIO, CAPACITY));
    }
}
