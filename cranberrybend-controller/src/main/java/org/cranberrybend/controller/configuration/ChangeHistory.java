package org.cranberrybend.controller.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.ChangeSet;

/**
 * Change sets seen by this controller, used to write a head back after the key-value service lost it.
 *
 * <p>Thread-safe; its lock is a leaf and no other lock is taken while it is held.
 */
final class ChangeHistory {
    private static final int CAPACITY = 4 * ConfigurationCodec.RECENT_CHANGES_MAX;

    private final Map<String, ChangeSet> byChainDigest = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ChangeSet> eldest) {
            return size() > CAPACITY;
        }
    };

    synchronized void remember(List<ChangeSet> changes) {
        changes.forEach(each -> byChainDigest.putIfAbsent(each.chainDigest(), each));
    }

    /** Returns the known change sets without gaps that end at the given chain digest, oldest first. */
    synchronized List<ChangeSet> endingAt(String chainDigest) {
        List<ChangeSet> found = new ArrayList<>();
        ChangeSet change = byChainDigest.get(chainDigest);
        while (change != null && found.size() < ConfigurationCodec.RECENT_CHANGES_MAX) {
            found.add(change);
            change = byChainDigest.get(change.previousDigest());
        }
        Collections.reverse(found);
        return found;
    }
}
