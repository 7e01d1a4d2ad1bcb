package org.cranberrybend.wire.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.cranberrybend.core.routing.LinkBudget;
import org.cranberrybend.core.time.TimeSource;

/**
 * Token bucket that delays large frames to other regions, so that this process does not exceed its share of the
 * inter-region link.
 *
 * <p>Frames are written in the order of submission. The queue needs no bound of its own: the outbound buffers of the
 * connections count a frame until it is written. Edge case: a frame that exceeds the burst waits for a full bucket and
 * then overdraws the bucket.
 *
 * <p>Thread-safe; frames are written without holding the lock.
 */
final class LinkPacer {
    private static final long RETRY_DELAY_MS = 50;

    private final long burstBytes;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final Object lock = new Object();
    private final LinkBudget budget;
    private final Queue<QueuedFrame> queue = new ArrayDeque<>();

    /** Schedules delayed tasks. */
    @FunctionalInterface
    interface Scheduler {
        /** Runs a task after a delay in milliseconds, or never if the transport is stopping. */
        void schedule(Runnable task, long delayMs);
    }

    private record QueuedFrame(long lengthBytes, Runnable write) {}

    LinkPacer(long bytesPerSecond, long burstBytes, TimeSource time, Scheduler scheduler) {
        this.burstBytes = burstBytes;
        this.time = time;
        this.scheduler = scheduler;
        this.budget = new LinkBudget(bytesPerSecond, burstBytes, time.monotonicMs());
    }

    /** Writes a frame now or, if the budget is used up, later; returns whether it was delayed. */
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
        List<Runnable> permitted = new ArrayList<>();
        boolean more;
        synchronized (lock) {
            while (!queue.isEmpty() && tryAcquire(queue.peek().lengthBytes())) {
                permitted.add(queue.remove().write());
            }
            more = !queue.isEmpty();
        }
        permitted.forEach(Runnable::run);
        if (more) {
            scheduler.schedule(this::writePermitted, RETRY_DELAY_MS);
        }
    }

    private boolean tryAcquire(long lengthBytes) {
        long nowMs = time.monotonicMs();
        long acquiredBytes = Math.min(lengthBytes, burstBytes);
        if (!budget.tryAcquire(acquiredBytes, nowMs)) {
            return false;
        }
        budget.adjust(lengthBytes - acquiredBytes, nowMs);
        return true;
    }
}
