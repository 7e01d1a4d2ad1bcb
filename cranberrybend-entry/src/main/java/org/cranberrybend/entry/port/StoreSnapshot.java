package org.cranberrybend.entry.port;

import java.util.List;

/**
 * All items under a prefix.
 *
 * @param items items in the order of their keys
 * @param revision revision of the store from which to watch for changes
 */
public record StoreSnapshot(List<StoreItem> items, long revision) {
    public StoreSnapshot {
        items = List.copyOf(items);
    }
}
