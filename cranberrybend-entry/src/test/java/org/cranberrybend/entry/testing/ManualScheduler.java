package org.cranberrybend.entry.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A scheduler whose delayed tasks run when the test says so, in the order in which they were scheduled. */
public final class ManualScheduler extends ScheduledThreadPoolExecutor {
    private final Deque<Runnable> scheduled = new ArrayDeque<>();

    /** Creates a scheduler without tasks. */
    public ManualScheduler() {
        super(1);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        scheduled.add(task);
        return null;
    }

    /** Runs the task that was scheduled first; fails if there is none. */
    public void runNext() {
        scheduled.remove().run();
    }

    /** Runs all tasks, including those that they schedule. */
    public void runAll() {
        while (!scheduled.isEmpty()) {
            runNext();
        }
    }
}
