package org.cranberrybend.controller.schedule;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;

/**
 * Runs a step repeatedly on a dedicated thread. Each run of the step returns the pause before the next one.
 *
 * <p>The step itself neither starts threads nor sleeps, so tests can call it directly. An unexpected exception of a
 * step is recorded and the step is run again; otherwise a controller would not perform that duty until it is restarted.
 */
public final class PeriodicTask implements Service {
    private static final long PAUSE_AFTER_FAILURE_MS = 1_000;
    private static final long JOIN_TIMEOUT_MS = 2_000;

    private final String name;
    private final Step step;
    private final Runnable shutdownAction;
    private final EventLog events;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private Thread thread;
    private boolean stopped;
    private boolean wakeRequested;

    /** The step that is run repeatedly. */
    @FunctionalInterface
    public interface Step {
        /** Runs the step once and returns the pause before the next run in milliseconds. */
        long run();
    }

    /** Creates a task; its thread has the given name. */
    public PeriodicTask(String name, Step step, EventLog events) {
        this(name, step, () -> {}, events);
    }

    /** Creates a task with an action that its thread runs once after the last step. */
    public PeriodicTask(String name, Step step, Runnable shutdownAction, EventLog events) {
        this.name = name;
        this.step = step;
        this.shutdownAction = shutdownAction;
        this.events = events;
    }

    @Override
    public void start() {
        thread = new Thread(this::loop, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the current pause, so that the next run starts immediately. */
    public void wake() {
        lock.lock();
        try {
            wakeRequested = true;
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void loop() {
        long pauseMs = 0;
        while (awaitNextRun(pauseMs)) {
            try {
                pauseMs = step.run();
            } catch (RuntimeException e) {
                events.record(EventCode.INTERNAL_FAILURE, name, Map.of("reason", String.valueOf(e)));
                pauseMs = PAUSE_AFTER_FAILURE_MS;
            }
        }
        shutdownAction.run();
    }

    private boolean awaitNextRun(long pauseMs) {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(pauseMs);
            while (!stopped && !wakeRequested && remainingNanos > 0) {
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
            }
            wakeRequested = false;
            return !stopped;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void stop() {
        lock.lock();
        try {
            stopped = true;
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
        if (thread == null) {
            return;
        }
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
