package org.cranberrybend.wire.node;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Listeners of one kind of change, called in order of their registration on a worker thread. Changes that arrive before
 * the listeners are called are coalesced into one call.
 */
final class ChangeListeners {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Executor worker;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean scheduled = new AtomicBoolean();

    ChangeListeners(Executor worker) {
        this.worker = worker;
    }

    void add(Runnable listener) {
        listeners.add(listener);
    }

    void notifyChanged() {
        if (!scheduled.compareAndSet(false, true)) {
            return;
        }
        try {
            worker.execute(this::notifyListeners);
        } catch (RejectedExecutionException e) {
            // The process is stopping; the listeners need no further notification.
            scheduled.set(false);
        }
    }

    private void notifyListeners() {
        scheduled.set(false);
        for (Runnable listener : listeners) {
            try {
                listener.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("change listener failed");
            }
        }
    }
}
