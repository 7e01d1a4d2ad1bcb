package org.cranberrybend.experiment;

/**
 * A fault that the simulation injects.
 *
 * @param kind kind of fault
 * @param atMs start in milliseconds of simulated time
 * @param durationMs duration in milliseconds
 * @param engine index of the affected engine, or -1 for a reclaim
 * @param zone affected availability zone of a reclaim, otherwise empty
 */
record Fault(Kind kind, long atMs, long durationMs, int engine, String zone) {
    /** Kinds of faults. */
    enum Kind {
        /** The engine loses its requests, and new attempts fail without being executed. */
        CRASH,
        /** The engine works at a third of its speed. */
        SLOW,
        /** All preemptible upstreams of the zone are removed, and none can be started for the duration. */
        RECLAIM
    }
}
