package org.cranberrybend.core.time;

/**
 * Source of time for decision code and services, injected so that tests control it.
 *
 * <p>Durations and expiries are always judged on {@link #monotonicMs()}, because the wall clock may be set back.
 */
public interface TimeSource {
    /** Returns the wall clock in milliseconds since the epoch. */
    long wallMs();

    /** Returns a clock in milliseconds that never goes back; its origin is arbitrary. */
    long monotonicMs();

    /** Returns the clock of this machine. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
