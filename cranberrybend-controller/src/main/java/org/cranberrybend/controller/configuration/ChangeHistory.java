package org.cranberrybend.controller.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.ChangeSet;

/**
 * Recent change sets known to this controller, needed to restore a head that the key-value store has lost.
 *
 * <p>Thread-safe. The lock is a leaf lock: no other lock is taken while it is held.
 */
final class ChangeHistory {
    private static final int CAPACITY = 4 * ConfigurationCodec.MAX_RECENT_CHANGES;

    private final Map<String, ChangeSet> byChainDigest = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ChangeSet> eldest) {
            return size() > CAPACITY;
        }
    };

    synchronized void add(List<ChangeSet> changes) {
        changes.forEach(each -> byChainDigest.putIfAbsent(each.chainDigest(), each));
    }

    /** Returns the known contiguous change sets that end at the given chain digest, oldest first. */
    synchronized List<ChangeSet> endingAt(String chainDigest) {
        List<ChangeSet> found = new ArrayList<>();
        ChangeSet change = byChainDigest.get(chainDigest);
        while (change != null && found.size() < ConfigurationCodec.MAX_RECENT_CHANGES) {
            found.add(change);
            change = byChainDigest.get(change.previousDigest());
        }
        Collections.reverse(found);
        return found;
    }
}
