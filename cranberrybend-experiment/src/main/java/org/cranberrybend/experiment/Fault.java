package org.cranberrybend.experiment;

/**
 * A planned fault.
 *
 * @param kind what happens
 * @param atMs when it starts, in milliseconds
 * @param durationMs how long it lasts, in milliseconds
 * @param engine index of the engine, or -1
 * @param zone availability zone, or empty
 */
record Fault(Kind kind, long atMs, long durationMs, int engine, String zone) {
    /** Kinds of faults. */
    enum Kind {
        /** The engine loses its requests and fails new ones. */
        CRASH,
        /** The engine runs at a third of its speed. */
        SLOW,
        /** All preemptible upstreams of the zone are taken away, and none can be ordered for the duration. */
        RECLAIM
    }
}
