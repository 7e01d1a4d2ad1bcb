package org.cranberrybend.entry.store;

import java.util.HashSet;
import java.util.Set;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/**
 * Applies what the operator writes to the store: the configuration and the evacuations of zones. Both are read by one
 * watch, because each call of the store is billed. Other keys of the operator are ignored.
 *
 * <p>A store that is restored from an older copy lacks what the operator has written since, until it is written again. The
 * configuration keeps its version. An evacuation that is known or in the copy is in force for a while, so that neither a
 * lost start nor an outdated knowledge of this instance lets requests into the zone.
 */
public final class OperatorState implements PrefixWatch.Listener {
    /** Time in which the operator writes again what a restored store lacks. */
    private static final long REWRITE_MS = 5_000;

    private final StoreKeys keys;
    private final ConfigurationHolder configuration;
    private final ZoneEvacuations evacuations;
    private final TimeSource timeSource;
    private final DecisionLog log;
    /** Evacuated zones that the restored store does not list. */
    private final Set<String> unconfirmedZones = new HashSet<>();

    private long unconfirmedUntilMs;

    /** Creates the listener of the watch of the operator's keys. */
    public OperatorState(
            StoreKeys keys,
            ConfigurationHolder configuration,
            ZoneEvacuations evacuations,
            TimeSource timeSource,
            DecisionLog log) {
        this.keys = keys;
        this.configuration = configuration;
        this.evacuations = evacuations;
        this.timeSource = timeSource;
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
        keepUnlistedZones(zones, snapshot.revision());
        // An instance serves requests from its first configuration on, so the evacuations must be known before it.
        evacuations.offer(keys.evacuationPrefix(), new ZoneEvacuations.State(zones, snapshot.revision()));
        snapshot.items().forEach(this::offerConfiguration);
    }

    /** Adds the zones that are evacuated as far as known if the store was restored since; they are to be confirmed. */
    private void keepUnlistedZones(Set<String> zones, long revision) {
        ZoneEvacuations.State known = evacuations.state();
        if (known.revision() >= 0 && StoreRevision.epochOf(revision) > StoreRevision.epochOf(known.revision())) {
            unconfirmedZones.addAll(known.zones());
            unconfirmedUntilMs = timeSource.monotonicMs() + REWRITE_MS;
        }
        unconfirmedZones.removeAll(zones);
        zones.addAll(unconfirmedZones);
    }

    @Override
    public void onChange(StoreChange change) {
        if (isEvacuation(change.key())) {
            unconfirmedZones.remove(zoneOf(change.key()));
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
        if (!unconfirmedZones.isEmpty() && timeSource.monotonicMs() >= unconfirmedUntilMs) {
            // A store that no longer has the key has lost its deletion, too, if there was one.
            unconfirmedZones.forEach(zone -> evacuations.apply(keys.evacuationPrefix(), zone, false, revision + 1));
            unconfirmedZones.clear();
        }
        evacuations.recordProgress(revision);
    }

    @Override
    public void onStoreUnavailable(String cause) {
        log.record(EventCode.STORE_UNAVAILABLE, keys.operatorPrefix(), "cause", cause);
    }
}
