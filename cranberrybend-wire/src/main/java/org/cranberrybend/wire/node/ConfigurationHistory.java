package org.cranberrybend.wire.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;

/**
 * Bounded history of the latest accepted change sets, without gaps. A change set may have any size, so that the history
 * is bounded by its text as well as by their number. Not thread-safe.
 */
final class ConfigurationHistory {
    /** Number of retained change sets; at bursts of 10 changes per second they cover 25 s. */
    static final int CAPACITY = 256;

    /** Bound on one delta; the receiver requests the remaining change sets separately. */
    private static final int MAX_DELTA_CHARS = 1 << 20;

    /** Bound on the text of the history; a receiver that is further behind reads the whole configuration. */
    static final int MAX_HISTORY_CHARS = 4 * MAX_DELTA_CHARS;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private long chars;

    private record Entry(long revision, String chainDigest, String json) {}

    void add(ChangeSet changeSet) {
        String json = CanonicalJson.write(changeSet);
        entries.addLast(new Entry(changeSet.revision(), changeSet.chainDigest(), json));
        chars += json.length();
        while (entries.size() > CAPACITY || chars > MAX_HISTORY_CHARS && entries.size() > 1) {
            chars -= entries.removeFirst().json().length();
        }
    }

    void clear() {
        entries.clear();
        chars = 0;
    }

    /** Returns the change sets after a revision as JSON, limited to one delta; empty if some of them were evicted. */
    List<String> after(long revision) {
        List<String> delta = new ArrayList<>();
        if (entries.isEmpty() || entries.getFirst().revision() > revision + 1) {
            return delta;
        }
        int length = 0;
        for (Entry each : entries) {
            if (each.revision() <= revision) {
                continue;
            }
            length += each.json().length();
            if (length > MAX_DELTA_CHARS && !delta.isEmpty()) {
                break;
            }
            delta.add(each.json());
        }
        return delta;
    }

    /** Returns whether the change set is retained. */
    boolean contains(ChangeSet changeSet) {
        String digest = changeSet.chainDigest();
        return entries.stream()
                .anyMatch(each -> each.revision() == changeSet.revision()
                        && each.chainDigest().equals(digest));
    }
}
