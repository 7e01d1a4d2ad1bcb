package org.cranberrybend.entry.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cranberrybend.entry.port.StoreChanges;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;

/**
 * All items under a prefix as far as this instance knows them, for the snapshots of other instances. Items that were
 * received through a leader lack changes that followers do not need. Confined to the event loop.
 */
final class PrefixItems {
    private static final long UNKNOWN = -1;

    private final Map<String, StoreItem> items = new TreeMap<>();
    private long revision = UNKNOWN;

    /** Replaces all items. */
    void replace(StoreSnapshot snapshot) {
        items.clear();
        snapshot.items().forEach(item -> items.put(item.key(), item));
        revision = snapshot.revision();
    }

    /** Applies the changes that follow the items. */
    void apply(StoreChanges changes) {
        if (revision == UNKNOWN) {
            return;
        }
        if (!StoreRevision.isSameEpoch(revision, changes.revision())) {
            items.clear();
            revision = UNKNOWN;
            return;
        }
        changes.changes().forEach(change -> change.item()
                .ifPresentOrElse(item -> items.put(item.key(), item), () -> items.remove(change.key())));
        revision = Math.max(revision, changes.revision());
    }

    /** Returns the revision of the items; negative if they are not known. */
    long revision() {
        return revision;
    }

    /** Returns the items; empty if they are not known. */
    Optional<StoreSnapshot> snapshot() {
        return revision == UNKNOWN
                ? Optional.empty()
                : Optional.of(new StoreSnapshot(List.copyOf(items.values()), revision));
    }
}
