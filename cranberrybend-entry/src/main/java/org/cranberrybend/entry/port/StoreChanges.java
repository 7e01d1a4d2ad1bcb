package org.cranberrybend.entry.port;

import java.util.List;

/**
 * Changes under a prefix.
 *
 * @param changes changes in the order of their revisions; may be empty
 * @param revision revision of the store up to which the changes are complete; the next watch starts there
 */
public record StoreChanges(List<StoreChange> changes, long revision) {
    public StoreChanges {
        changes = List.copyOf(changes);
    }
}
