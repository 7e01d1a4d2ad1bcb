package org.cranberrybend.entry.upstream;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The processes of upstreams that have stated in a response that they are leaving. Confined to the event loop.
 *
 * <p>A statement holds for a process, not for its identifier or address, which a successor may use again. It outlives
 * the upstream's entry: an entry that expires and is written again by the same process is not a new process.
 */
final class LeavingProcesses {
    /** More than an instance meets between two of its restarts; the oldest statements are forgotten first. */
    private static final int MAX_PROCESSES = 10_000;

    private record Process(String id, long startedAtMs) {}

    private final Set<Process> processes = new LinkedHashSet<>();

    /** Adds the process of an entry; returns whether it is new. */
    boolean add(UpstreamRecord entry) {
        boolean added = processes.add(processOf(entry));
        if (processes.size() > MAX_PROCESSES) {
            processes.remove(processes.iterator().next());
        }
        return added;
    }

    boolean contains(UpstreamRecord entry) {
        return processes.contains(processOf(entry));
    }

    private static Process processOf(UpstreamRecord entry) {
        return new Process(entry.id(), entry.startedAtMs());
    }
}
