package org.cranberrybend.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cranberrybend.core.retry.RetryBudget;

/**
 * Bounds what this instance sends beyond the first upstream of each request, per service.
 *
 * <p>The bound holds for all instances together. Each takes an equal part of the fixed allowance and earns the ratio by
 * its own requests, so that none needs to hear of the others' repeats. The part shrinks as soon as more instances are
 * known.
 */
final class ServiceRetryBudget {
    /** Instances assumed while no registration was read, as many as the largest fleets of today. */
    private static final int UNKNOWN_FLEET = 100;
    /** Instances assumed for each known one: some may have registered that are not known here yet. */
    private static final double UNSEEN_INSTANCES_FACTOR = 1.25;

    private final double ratio;
    private final double allowance;
    private final IntSupplier instances;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param ratio repeats allowed for each request
     * @param allowance repeats allowed besides, for all instances together
     * @param instances largest number of instances known to serve at the same time; 0 if nothing is known
     */
    ServiceRetryBudget(double ratio, double allowance, IntSupplier instances) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
    }

    private RetryBudget of(String service) {
        int known = instances.getAsInt();
        double part = Math.max(1, allowance / (known == 0 ? UNKNOWN_FLEET : known * UNSEEN_INSTANCES_FACTOR));
        RetryBudget budget = budgets.computeIfAbsent(service, name -> new RetryBudget(ratio, part));
        budget.setCapacity(part);
        return budget;
    }

    void recordRequest(String service) {
        of(service).recordSuccess();
    }

    boolean tryTake(String service) {
        return of(service).tryAcquire();
    }
}
