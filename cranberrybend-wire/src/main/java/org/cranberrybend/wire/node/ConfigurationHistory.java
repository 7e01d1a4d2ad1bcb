package org.cranberrybend.wire.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;

/** The latest accepted change sets, without gaps. Not thread-safe. */
final class ConfigurationHistory {
    /** Change sets kept; at bursts of 10 changes per second, those of the last 25 s. */
    static final int CAPACITY = 256;

    /** Bound on one delta, in characters; what follows is asked for again. */
    private static final int MAX_DELTA_LENGTH = 1 << 20;

    private final Deque<Kept> kept = new ArrayDeque<>();

    private record Kept(long revision, String chainDigest, String json) {}

    void add(ChangeSet changeSet) {
        kept.addLast(new Kept(changeSet.revision(), changeSet.chainDigest(), CanonicalJson.write(changeSet)));
        if (kept.size() > CAPACITY) {
            kept.removeFirst();
        }
    }

    void clear() {
        kept.clear();
    }

    /** Returns the change sets after a revision as JSON, or an empty list if some of them are no longer kept. */
    List<String> after(long revision) {
        List<String> delta = new ArrayList<>();
        if (kept.isEmpty() || kept.getFirst().revision() > revision + 1) {
            return delta;
        }
        int length = 0;
        for (Kept each : kept) {
            if (each.revision() <= revision) {
                continue;
            }
            length += each.json().length();
            if (length > MAX_DELTA_LENGTH && !delta.isEmpty()) {
                break;
            }
            delta.add(each.json());
        }
        return delta;
    }

    /** Returns whether the change set is one of those kept. */
    boolean contains(ChangeSet changeSet) {
        String digest = changeSet.chainDigest();
        return kept.stream()
                .anyMatch(each -> each.revision() == changeSet.revision()
                        && each.chainDigest().equals(digest));
    }
}
