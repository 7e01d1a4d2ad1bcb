package org.cranberrybend.entry.upstream;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Processes of upstreams whose entries were removed. A store that is restored from an older copy lists them again, until
 * their entries expire once more; requests that are sent to them meanwhile reach a process that has left. Confined to the
 * event loop.
 */
final class DepartedProcesses {
    /** More than an instance meets between two of its restarts; the oldest are forgotten first. */
    private static final int MAX_PROCESSES = 10_000;

    private final Set<UpstreamProcess> processes = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamProcess, Boolean> eldest) {
            return size() > MAX_PROCESSES;
        }
    });

    /** Revision of the first entries that were read after the last restoration; 0 if there was none. */
    private long restoredRevision;

    /** Adds the process of an entry that was removed. */
    void add(UpstreamRecord entry) {
        processes.add(UpstreamProcess.of(entry));
    }

    /** Records that entries up to a revision are those of the copy from which the store was restored. */
    void onStoreRestored(long revision) {
        restoredRevision = revision;
    }

    /**
     * Returns whether an entry is of the copy, and its process had left before. Once the process has written the entry
     * again, it has not left.
     */
    boolean isOutdated(UpstreamRecord entry, long revision) {
        UpstreamProcess process = UpstreamProcess.of(entry);
        if (revision > restoredRevision) {
            processes.remove(process);
            return false;
        }
        return processes.contains(process);
    }
}
