package org.cranberrybend.entry.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;

/** The latest changes under one prefix of the store, without gaps between two revisions. */
final class ChangeLog {
    private static final int MAX_CHANGES = 2_000;

    private final Deque<StoreChange> changes = new ArrayDeque<>();
    /** Revision after which no change is missing here. */
    private long fromRevision = Long.MAX_VALUE;
    /** Revision up to which no change is missing here. */
    private long toRevision = Long.MIN_VALUE;

    /**
     * Takes the changes that the store sent after a revision. They replace the former ones if there is a gap between them.
     *
     * @param kept those of the changes that are worth passing on
     */
    void append(long afterRevision, long revision, List<StoreChange> kept) {
        if (afterRevision != toRevision) {
            changes.clear();
            fromRevision = afterRevision;
        }
        changes.addAll(kept);
        toRevision = Math.max(afterRevision, revision);
        while (changes.size() > MAX_CHANGES) {
            fromRevision = changes.removeFirst().revision();
        }
    }

    /** Returns the changes after a revision; empty if some of them may be missing. */
    Optional<StoreChanges> since(long afterRevision) {
        if (afterRevision < fromRevision) {
            return Optional.empty();
        }
        List<StoreChange> later = new ArrayList<>();
        for (StoreChange change : changes) {
            if (change.revision() > afterRevision) {
                later.add(change);
            }
        }
        return Optional.of(new StoreChanges(later, Math.max(afterRevision, toRevision)));
    }
}
