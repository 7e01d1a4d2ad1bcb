package org.cranberrybend.core.time;

/**
 * Source of time for decision logic and services, injected so that tests can control it.
 *
 * <p>Durations and expiries always use {@link #monotonicMs()}, because the wall clock may be set back.
 */
public interface TimeSource {
    /** Returns the wall clock time in milliseconds since the epoch. */
    long wallMs();

    /** Returns the time of a clock that never goes back, in milliseconds from an arbitrary origin. */
    long monotonicMs();

    /** Returns the time source of the system clocks. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
