package org.cranberrybend.entry.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreRevision;

/** Bounded log of the latest changes under one prefix of the store, complete between two revisions. */
final class ChangeLog {
    private static final int MAX_CHANGES = 2_000;

    private final Deque<StoreChange> changes = new ArrayDeque<>();
    /** Revision after which the log is complete. */
    private long firstRevision = Long.MAX_VALUE;
    /** Revision up to which the log is complete. */
    private long lastRevision = Long.MIN_VALUE;

    /**
     * Appends the changes that the store sent after a revision. If that is not the last revision of the log, changes
     * may be missing in between, and the earlier entries are discarded.
     *
     * @param kept the changes that followers need
     */
    void append(long afterRevision, long revision, List<StoreChange> kept) {
        if (afterRevision != lastRevision) {
            changes.clear();
            firstRevision = afterRevision;
        }
        changes.addAll(kept);
        lastRevision = Math.max(afterRevision, revision);
        while (changes.size() > MAX_CHANGES) {
            firstRevision = changes.removeFirst().revision();
        }
    }

    /** Returns the changes after a revision; empty if the log does not reach back that far. */
    Optional<StoreChanges> since(long afterRevision) {
        if (afterRevision < firstRevision || !StoreRevision.isSameEpoch(afterRevision, lastRevision)) {
            return Optional.empty();
        }
        List<StoreChange> changesAfter = new ArrayList<>();
        for (StoreChange change : changes) {
            if (change.revision() > afterRevision) {
                changesAfter.add(change);
            }
        }
        return Optional.of(new StoreChanges(changesAfter, Math.max(afterRevision, lastRevision)));
    }
}
