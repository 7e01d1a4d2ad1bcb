package org.cranberrybend.entry.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What processes of upstreams have stated in their responses: that they are leaving, or until when they want no
 * requests. Confined to the event loop.
 *
 * <p>A statement holds for a process, not for its identifier or address, which a successor may use again. It outlives
 * the upstream's entry: an entry that expires and is written again by the same process is not a new process.
 */
final class ProcessStatements {
    /** More than an instance meets between two of its restarts; the oldest statements are forgotten first. */
    private static final int MAX_PROCESSES = 10_000;

    /** Statement of one process; the time is 0 if it asked for none. */
    private record Statement(boolean leaving, long pausedUntilMs) {}

    private static final Statement NONE = new Statement(false, 0);

    private final Map<UpstreamProcess, Statement> statements = new LinkedHashMap<>();

    /** Records that the process of an entry is leaving; returns whether it had not stated that before. */
    boolean addLeaving(UpstreamRecord entry) {
        Statement before = of(entry);
        put(entry, new Statement(true, before.pausedUntilMs()));
        return !before.leaving();
    }

    /** Records until when the process of an entry wants no requests; the latest end counts. Returns that end. */
    long addPause(UpstreamRecord entry, long untilMs) {
        Statement before = of(entry);
        long latestMs = Math.max(before.pausedUntilMs(), untilMs);
        put(entry, new Statement(before.leaving(), latestMs));
        return latestMs;
    }

    boolean isLeaving(UpstreamRecord entry) {
        return of(entry).leaving();
    }

    long pausedUntilMs(UpstreamRecord entry) {
        return of(entry).pausedUntilMs();
    }

    private Statement of(UpstreamRecord entry) {
        return statements.getOrDefault(UpstreamProcess.of(entry), NONE);
    }

    private void put(UpstreamRecord entry, Statement statement) {
        statements.put(UpstreamProcess.of(entry), statement);
        if (statements.size() > MAX_PROCESSES) {
            statements.remove(statements.keySet().iterator().next());
        }
    }
}
