package org.cranberrybend.controller.schedule;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.lifecycle.Service;

/**
 * Runs one step again and again on its own thread, with the pause that each step asks for.
 *
 * <p>The step itself has no thread and no sleep, so tests call it directly. A step that fails unexpectedly is recorded
 * and repeated, because a controller must not lose one of its duties until it is restarted.
 */
public final class RepeatedTask implements Service {
    private static final long PAUSE_AFTER_FAILURE_MS = 1_000;
    private static final long JOIN_MS = 2_000;

    private final String name;
    private final Step step;
    private final Runnable atEnd;
    private final EventLog events;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private Thread thread;
    private boolean stopped;
    private boolean woken;

    /** Work that is repeated. */
    @FunctionalInterface
    public interface Step {
        /** Does the work once and returns the pause before the next run in milliseconds. */
        long run();
    }

    /** Creates the task; its thread has the given name. */
    public RepeatedTask(String name, Step step, EventLog events) {
        this(name, step, () -> {}, events);
    }

    /** Creates the task with an action that its thread runs once after the last step. */
    public RepeatedTask(String name, Step step, Runnable atEnd, EventLog events) {
        this.name = name;
        this.step = step;
        this.atEnd = atEnd;
        this.events = events;
    }

    @Override
    public void start() {
        thread = new Thread(this::loop, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the current pause, so that the next run starts at once. */
    public void wake() {
        lock.lock();
        try {
            woken = true;
            changed.signalAll();
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
        atEnd.run();
    }

    private boolean awaitNextRun(long pauseMs) {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(pauseMs);
            while (!stopped && !woken && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
            woken = false;
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
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        if (thread == null) {
            return;
        }
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
