package org.cranberrybend.entry.log;

import org.cranberrybend.core.event.EventCode;

/**
 * A periodic task that logs unexpected exceptions. An executor never runs a periodic task again that has thrown one, so
 * without this a single error would end the leases, reports and timeouts of the process while it goes on serving.
 */
public final class GuardedTask implements Runnable {
    private final String name;
    private final Runnable task;
    private final DecisionLog log;

    /** Creates a task whose failures are logged under a name. */
    public GuardedTask(String name, Runnable task, DecisionLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.record(EventCode.INTERNAL_FAILURE, name, "cause", e.toString());
        }
    }
}
