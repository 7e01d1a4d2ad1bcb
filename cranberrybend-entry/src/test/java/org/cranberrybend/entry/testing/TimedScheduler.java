package org.cranberrybend.entry.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A scheduler whose delayed tasks run as the test advances its clock, each at its time. */
public final class TimedScheduler extends ScheduledThreadPoolExecutor {
    private record Task(long dueMs, long number, Runnable action) {}

    private final TestClock clock;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::number));
    private long scheduled;

    /** Creates a scheduler without tasks. */
    public TimedScheduler(TestClock clock) {
        super(1);
        this.clock = clock;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        tasks.add(new Task(clock.monotonicMs() + unit.toMillis(delay), scheduled++, task));
        return null;
    }

    /** Advances the clock to a monotonic time and runs the tasks that are due until then. */
    public void runUntil(long timeMs) {
        while (!tasks.isEmpty() && tasks.peek().dueMs() <= timeMs) {
            Task next = tasks.remove();
            clock.advance(Math.max(0, next.dueMs() - clock.monotonicMs()));
            next.action().run();
        }
        clock.advance(timeMs - clock.monotonicMs());
    }
}
