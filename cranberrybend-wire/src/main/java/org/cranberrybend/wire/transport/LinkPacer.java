package org.cranberrybend.wire.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.cranberrybend.core.routing.LinkBudget;
import org.cranberrybend.core.time.TimeSource;

/**
 * Delays large frames to other regions so that this process stays within its bytes per second on the link.
 *
 * <p>Frames leave in the order of their arrival. What waits is bounded by the outbound buffers of the connections, which
 * count a frame until it is written. Edge case: a frame larger than the burst waits for a full bucket and overdraws it.
 *
 * <p>Safe for use by several threads; frames are written without locks.
 */
final class LinkPacer {
    private static final long RETRY_DELAY_MS = 50;

    private final long burstBytes;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final Object lock = new Object();
    private final LinkBudget budget;
    private final Queue<QueuedFrame> queue = new ArrayDeque<>();

    /** Runs a task later. */
    @FunctionalInterface
    interface Scheduler {
        /** Runs the task after a delay in milliseconds, or never if the transport is stopping. */
        void schedule(Runnable task, long delayMs);
    }

    private record QueuedFrame(long lengthBytes, Runnable write) {}

    LinkPacer(long bytesPerSecond, long burstBytes, TimeSource time, Scheduler scheduler) {
        this.burstBytes = burstBytes;
        this.time = time;
        this.scheduler = scheduler;
        this.budget = new LinkBudget(bytesPerSecond, burstBytes, time.monotonicMs());
    }

    /** Writes a frame now or as soon as the budget allows; returns whether it was delayed. */
    boolean submit(long lengthBytes, Runnable write) {
        boolean delayed;
        boolean first;
        synchronized (lock) {
            first = queue.isEmpty();
            delayed = !first || !tryAcquire(lengthBytes);
            if (delayed) {
                queue.add(new QueuedFrame(lengthBytes, write));
            }
        }
        if (!delayed) {
            write.run();
        } else if (first) {
            scheduler.schedule(this::writePermitted, RETRY_DELAY_MS);
        }
        return delayed;
    }

    private void writePermitted() {
        List<Runnable> allowed = new ArrayList<>();
        boolean more;
        synchronized (lock) {
            while (!queue.isEmpty() && tryAcquire(queue.peek().lengthBytes())) {
                allowed.add(queue.remove().write());
            }
            more = !queue.isEmpty();
        }
        allowed.forEach(Runnable::run);
        if (more) {
            scheduler.schedule(this::writePermitted, RETRY_DELAY_MS);
        }
    }

    private boolean tryAcquire(long lengthBytes) {
        long nowMs = time.monotonicMs();
        long askedBytes = Math.min(lengthBytes, burstBytes);
        if (!budget.tryAcquire(askedBytes, nowMs)) {
            return false;
        }
        budget.adjust(lengthBytes - askedBytes, nowMs);
        return true;
    }
}
