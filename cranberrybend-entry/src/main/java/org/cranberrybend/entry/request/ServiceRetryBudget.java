package org.cranberrybend.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cranberrybend.core.retry.RetryBudget;

/**
 * Bounds what this instance sends beyond the first upstream of each request, per service.
 *
 * <p>The bound holds for all instances together. Each takes an equal part of the fixed allowance and earns the ratio by
 * its own requests, so no instance needs to hear of the others.
 */
final class ServiceRetryBudget {
    private final double ratio;
    private final double allowance;
    private final IntSupplier instances;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param ratio repeats allowed for each request
     * @param allowance repeats allowed besides, for all instances together
     * @param instances largest number of instances that may serve at the same time
     */
    ServiceRetryBudget(double ratio, double allowance, IntSupplier instances) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
    }

    private RetryBudget of(String service) {
        return budgets.computeIfAbsent(
                service, name -> new RetryBudget(ratio, Math.max(1, allowance / instances.getAsInt())));
    }

    void recordRequest(String service) {
        of(service).recordSuccess();
    }

    boolean tryTake(String service) {
        return of(service).tryTake();
    }
}
