package org.cranberrybend.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cranberrybend.core.retry.RetryBudget;

/**
 * Limits the retries of this instance, per service.
 *
 * <p>The configured limit applies to all instances together. Each instance uses an equal share of the fixed allowance
 * and earns the ratio with its own requests, so that instances need not report their retries to each other. The share
 * shrinks as soon as more instances are known.
 */
final class ServiceRetryBudget {
    /** Number of instances assumed until registrations have been read; the size of the largest fleets in use. */
    private static final int ASSUMED_FLEET_SIZE = 100;
    /** Instances assumed for each known one, since some may have registered that are not known here yet. */
    private static final double UNSEEN_INSTANCES_FACTOR = 1.25;

    private final double ratio;
    private final double allowance;
    private final IntSupplier instances;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param ratio retries allowed for each request
     * @param allowance retries allowed in addition, for all instances together
     * @param instances largest number of instances known to serve at the same time; 0 if unknown
     */
    ServiceRetryBudget(double ratio, double allowance, IntSupplier instances) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
    }

    private RetryBudget budgetFor(String service) {
        int knownInstances = instances.getAsInt();
        double share = Math.max(
                1, allowance / (knownInstances == 0 ? ASSUMED_FLEET_SIZE : knownInstances * UNSEEN_INSTANCES_FACTOR));
        RetryBudget budget = budgets.computeIfAbsent(service, name -> new RetryBudget(ratio, share));
        budget.setCapacity(share);
        return budget;
    }

    void recordRequest(String service) {
        budgetFor(service).recordSuccess();
    }

    boolean tryAcquire(String service) {
        return budgetFor(service).tryAcquire();
    }
}
