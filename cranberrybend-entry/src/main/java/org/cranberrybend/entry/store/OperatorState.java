package org.cranberrybend.entry.store;

import java.util.HashSet;
import java.util.Set;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/**
 * Applies what the operator writes to the store: the configuration and the evacuations of zones. Both are read by one
 * watch, because each call of the store is billed. Other keys of the operator are ignored.
 */
public final class OperatorState implements PrefixWatch.Listener {
    private final StoreKeys keys;
    private final ConfigurationHolder configuration;
    private final ZoneEvacuations evacuations;
    private final DecisionLog log;

    /** Creates the listener of the watch of the operator's keys. */
    public OperatorState(
            StoreKeys keys, ConfigurationHolder configuration, ZoneEvacuations evacuations, DecisionLog log) {
        this.keys = keys;
        this.configuration = configuration;
        this.evacuations = evacuations;
        this.log = log;
    }

    /** Returns whether a change concerns this state, so that followers need it. */
    public boolean isRelevant(StoreChange change) {
        return change.key().equals(keys.configurationKey()) || isEvacuation(change.key());
    }

    private boolean isEvacuation(String key) {
        return key.startsWith(keys.evacuationPrefix())
                && key.length() > keys.evacuationPrefix().length();
    }

    private String zoneOf(String key) {
        return key.substring(keys.evacuationPrefix().length());
    }

    @Override
    public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
        Set<String> zones = new HashSet<>();
        for (StoreItem item : snapshot.items()) {
            if (isEvacuation(item.key())) {
                zones.add(zoneOf(item.key()));
            }
        }
        // An instance serves requests from its first configuration on, so the evacuations must be known before it.
        evacuations.offer(keys.evacuationPrefix(), new ZoneEvacuations.State(zones, snapshot.revision()));
        snapshot.items().forEach(this::offerConfiguration);
    }

    @Override
    public void onChange(StoreChange change) {
        if (isEvacuation(change.key())) {
            evacuations.apply(change.key(), zoneOf(change.key()), change.item().isPresent(), change.revision());
        } else {
            change.item().ifPresent(this::offerConfiguration);
        }
    }

    private void offerConfiguration(StoreItem item) {
        if (item.key().equals(keys.configurationKey())) {
            configuration.offer(item.key(), item.value());
        }
    }

    @Override
    public void onProgress(long revision) {
        evacuations.recordProgress(revision);
    }

    @Override
    public boolean needsSnapshotAfterOutage() {
        // Nothing of the operator expires, so the changes since the last revision are complete.
        return false;
    }

    @Override
    public void onStoreUnavailable(String cause) {
        log.record(EventCode.STORE_UNAVAILABLE, keys.operatorPrefix(), "cause", cause);
    }
}
