package org.cranberrybend.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cranberrybend.core.retry.RetryBudget;
import org.cranberrybend.core.time.TimeSource;

/**
 * Limits the retries of this instance, per service.
 *
 * <p>The configured limit applies to all instances together. Each instance uses an equal share of the fixed allowance
 * and earns the ratio with its own requests, so that instances need not report their retries to each other. The share
 * shrinks as soon as more instances are known.
 *
 * <p>A process begins without its share and receives it one window after its start. Until then, the retries of its
 * predecessor may lie in the same window, and if all processes are killed at once, the allowance would be used twice.
 */
final class ServiceRetryBudget {
    /** Number of instances assumed until registrations have been read; the size of the largest fleets in use. */
    private static final int ASSUMED_FLEET_SIZE = 100;
    /** Instances assumed for each known one, since some may have registered that are not known here yet. */
    private static final double UNSEEN_INSTANCES_FACTOR = 1.25;
    /** Length of the windows in which retries are limited. */
    private static final long WINDOW_MS = 10_000;

    private final double ratio;
    private final double allowance;
    private final IntSupplier instances;
    private final TimeSource timeSource;
    private final long shareDueMs;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets of a process that starts now.
     *
     * @param ratio retries allowed for each request
     * @param allowance retries allowed in addition, for all instances together
     * @param instances largest number of instances known to serve at the same time; 0 if unknown
     */
    ServiceRetryBudget(double ratio, double allowance, IntSupplier instances, TimeSource timeSource) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
        this.timeSource = timeSource;
        this.shareDueMs = timeSource.monotonicMs() + WINDOW_MS;
    }

    private RetryBudget budgetFor(String service) {
        int knownInstances = instances.getAsInt();
        double share = Math.max(
                1, allowance / (knownInstances == 0 ? ASSUMED_FLEET_SIZE : knownInstances * UNSEEN_INSTANCES_FACTOR));
        RetryBudget budget = budgets.computeIfAbsent(service, name -> RetryBudget.empty(ratio, share));
        budget.setCapacity(share);
        if (timeSource.monotonicMs() >= shareDueMs) {
            budget.fillOnce();
        }
        return budget;
    }

    void recordRequest(String service) {
        budgetFor(service).recordSuccess();
    }

    boolean tryAcquire(String service) {
        return budgetFor(service).tryAcquire();
    }
}
