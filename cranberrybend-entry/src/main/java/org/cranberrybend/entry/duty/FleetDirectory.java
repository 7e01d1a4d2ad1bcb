package org.cranberrybend.entry.duty;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.store.PrefixWatch;

/**
 * The running instances, each registered in the store under a lease of its own, and whether one holds the duties.
 * Confined to the event loop.
 *
 * <p>Addresses of instances that lapsed are kept for a while: when the store is away, all entries lapse, and the
 * instances must still find each other.
 */
public final class FleetDirectory implements PrefixWatch.Listener {
    private static final long TTL_MS = 6_000;
    private static final long RENEW_INTERVAL_MS = 2_000;
    private static final int MAX_KNOWN_ADDRESSES = 2_000;
    private static final String WATCHER_ORDER = "watcher of the zone";

    private final KeyValueStore store;
    private final String instance;
    private final String zone;
    private final InetSocketAddress address;
    private final int memoryMb;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Set<String> live = new TreeSet<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, String> zones = new TreeMap<>();
    private final Map<String, Long> sizesMb = new TreeMap<>();
    private int largestFleet;
    private boolean holderSeen;
    private boolean heard;
    private long leaseId;
    private boolean pending;
    private long nextCallMs;
    private boolean released;

    /** Creates a directory in which nothing is known but the seeds. */
    public FleetDirectory(
            KeyValueStore store,
            String instance,
            String zone,
            InetSocketAddress address,
            int memoryMb,
            List<InetSocketAddress> seeds,
            TimeSource timeSource,
            DecisionLog log) {
        this.store = store;
        this.instance = instance;
        this.zone = zone;
        this.address = address;
        this.memoryMb = memoryMb;
        this.timeSource = timeSource;
        this.log = log;
        seeds.stream().filter(seed -> !seed.equals(address)).forEach(seed -> addresses.put(seed.toString(), seed));
    }

    /** Returns the registered instances. */
    public Set<String> liveInstances() {
        return new HashSet<>(live);
    }

    /** Returns control addresses of other instances, the most recently registered ones last. */
    public Set<InetSocketAddress> peerAddresses() {
        return new LinkedHashSet<>(addresses.values());
    }

    /**
     * Returns the control address of the instance that watches the store for this availability zone; empty if it is this
     * one. It is one of the largest, because it serves the others. All instances that know the same registrations name the same one.
     */
    public Optional<InetSocketAddress> zoneWatcher() {
        List<String> ofZone = new ArrayList<>();
        long largestMb = 0;
        for (String name : live) {
            long sizeMb = sizesMb.getOrDefault(name, 0L);
            if (zone.equals(zones.get(name)) && sizeMb >= largestMb) {
                if (sizeMb > largestMb) {
                    ofZone.clear();
                }
                largestMb = sizeMb;
                ofZone.add(name);
            }
        }
        return RendezvousHash.choose(WATCHER_ORDER, ofZone)
                .filter(name -> !name.equals(instance))
                .map(addresses::get);
    }

    /** Returns the largest number of instances that were registered at the same time. */
    public int largestFleet() {
        return largestFleet;
    }

    /** Returns whether some instance is known to hold the duties, or nothing is known yet. */
    public boolean isHolderSeen() {
        return holderSeen || !heard;
    }

    /** Registers this instance, and renews its lease when that is due. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        if (pending || released || nowMs < nextCallMs) {
            return;
        }
        pending = true;
        nextCallMs = nowMs + RENEW_INTERVAL_MS;
        if (leaseId != 0) {
            store.renewLease(leaseId).whenComplete((done, failure) -> {
                pending = false;
                if (failure != null && StoreException.kindOf(failure) == StoreException.Kind.NOT_FOUND) {
                    leaseId = 0;
                    nextCallMs = 0;
                }
            });
        } else {
            store.grantLease(TTL_MS).whenComplete((lease, failure) -> {
                if (failure != null) {
                    pending = false;
                } else {
                    register(lease);
                }
            });
        }
    }

    private void register(long lease) {
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("address", address.getHostString() + ":" + address.getPort());
        value.put("zone", zone);
        value.put("memory_mb", memoryMb);
        StoreWrite write = new StoreWrite(
                Map.of(),
                List.of(new StoreWrite.Put(FleetKeys.INSTANCES + instance, Json.write(value), lease)),
                List.of());
        store.write(write).whenComplete((revision, failure) -> {
            pending = false;
            if (failure == null) {
                leaseId = lease;
            }
        });
    }

    /** Ends the registration, because the process stops. */
    public void release() {
        released = true;
        if (leaseId != 0) {
            store.endLease(leaseId);
        }
    }

    @Override
    public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
        live.clear();
        holderSeen = false;
        snapshot.items().forEach(this::written);
        if (leaseId != 0 && !live.contains(instance)) {
            leaseId = 0;
            nextCallMs = 0;
        }
    }

    @Override
    public void onChange(StoreChange change) {
        if (change.item().isPresent()) {
            written(change.item().get());
        } else if (change.key().equals(FleetKeys.HOLDER)) {
            holderSeen = false;
        } else if (change.key().startsWith(FleetKeys.INSTANCES)) {
            String name = change.key().substring(FleetKeys.INSTANCES.length());
            if (live.remove(name)) {
                log.record(EventCode.MEMBER_DEAD, name, "revision", change.revision());
            }
        }
    }

    private void written(StoreItem item) {
        if (item.key().equals(FleetKeys.HOLDER)) {
            holderSeen = true;
            return;
        }
        if (!item.key().startsWith(FleetKeys.INSTANCES)) {
            return;
        }
        String name = item.key().substring(FleetKeys.INSTANCES.length());
        try {
            JsonObject value = Json.readObject(item.value());
            if (!name.equals(instance)) {
                addresses.remove(name);
                addresses.put(name, value.address("address"));
                dropOldest();
            }
            zones.put(name, value.string("zone"));
            sizesMb.put(name, value.integer("memory_mb", 0));
            boolean joined = live.add(name);
            largestFleet = Math.max(largestFleet, live.size());
            if (joined) {
                log.record(EventCode.MEMBER_JOINED, name, "revision", item.revision());
            }
        } catch (JsonFormatException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, item.key(), "cause", String.valueOf(e.getMessage()));
        }
    }

    private void dropOldest() {
        while (addresses.size() > MAX_KNOWN_ADDRESSES) {
            addresses.remove(addresses.keySet().iterator().next());
        }
    }

    @Override
    public void onProgress(long revision) {
        heard = true;
    }

    @Override
    public void onStoreUnavailable(String cause) {
        log.record(EventCode.STORE_UNAVAILABLE, FleetKeys.FLEET, "cause", cause);
    }
}
