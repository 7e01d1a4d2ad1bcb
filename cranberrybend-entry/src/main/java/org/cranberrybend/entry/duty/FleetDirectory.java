package org.cranberrybend.entry.duty;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.rateshare.SenderRoster;
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
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.store.PrefixWatch;

/**
 * Registry of the running instances, each with an entry in the store under a lease of its own; also tracks whether some
 * instance holds the duty lease. Confined to the event loop.
 *
 * <p>Addresses of instances whose entries have expired are retained: all entries expire while the store is unavailable,
 * and the instances must still find each other.
 *
 * <p>A store that is restored from an older copy lacks registrations, and the leases of all. Each instance registers
 * again, and those that were registered count as running for as long as their leases would have lasted.
 */
public final class FleetDirectory implements PrefixWatch.Listener, PeerDirectory {
    private static final long TTL_MS = 6_000;
    private static final long RENEW_INTERVAL_MS = 2_000;
    /** The same for an instance that others follow, which may confirm its state to followers only shortly after a store response. */
    private static final long LEADER_RENEW_INTERVAL_MS = 600;

    /** Time between the registrations of two instances that all have to register again. */
    private static final long REGISTRATION_SPACING_MS = 5;

    private static final int MAX_ADDRESSES = 2_000;
    /** Instances of another zone that this one asks for changes: its leader, and the next if the leader cannot help. */
    private static final int LEADERS_OF_OTHER_ZONES = 2;

    /** Key of the hash that chooses the zone leader; all instances must use the same text. */
    private static final String LEADER_HASH_KEY = "watcher of the zone";

    private final KeyValueStore store;
    private final String instance;
    private final String zone;
    private final Map<String, String> regionsByZone;
    private final InetSocketAddress address;
    private final int memoryMb;
    private final BooleanSupplier isFollowed;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Set<String> live = new TreeSet<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, String> zonesByInstance = new TreeMap<>();
    private final Map<String, Long> memoryMbByInstance = new TreeMap<>();
    private final SenderRoster roster = new SenderRoster();
    /** Empty after each change of the registrations: the order of 1,200 instances is not found for each call. */
    private Optional<ChangeSources> changeSources = Optional.empty();

    private int maxFleetSize;
    private boolean leaseHeld;
    private boolean loaded;
    private long leaseId;
    private boolean pending;
    private long nextCallMs;
    private long lastCallMs;
    private boolean released;
    /** Instances that a restored store does not list, with the time until which they count as running. */
    private final Map<String, Long> keptUntilMs = new TreeMap<>();

    private long snapshotRevision = -1;
    /** Whether the entry of this instance was deleted, as far as the last change of it shows. */
    private boolean ownEntryDeleted;

    /**
     * Creates a directory that contains only the addresses of the seeds.
     *
     * @param isFollowed whether other instances receive the changes of the store from this one
     */
    public FleetDirectory(
            KeyValueStore store,
            String instance,
            String zone,
            Map<String, String> regionsByZone,
            InetSocketAddress address,
            int memoryMb,
            List<InetSocketAddress> seeds,
            BooleanSupplier isFollowed,
            TimeSource timeSource,
            DecisionLog log) {
        this.store = store;
        this.instance = instance;
        this.zone = zone;
        this.regionsByZone = Map.copyOf(regionsByZone);
        this.address = address;
        this.memoryMb = memoryMb;
        this.isFollowed = isFollowed;
        this.timeSource = timeSource;
        this.log = log;
        store.epoch().onRestored(this::registerAgain);
        seeds.stream().filter(seed -> !seed.equals(address)).forEach(seed -> addresses.put(seed.toString(), seed));
    }

    /** Drops the lease of an earlier epoch, and registers after a delay that differs among instances. */
    private void registerAgain() {
        leaseId = 0;
        long spreadMs = 1 + live.size() * REGISTRATION_SPACING_MS;
        nextCallMs = timeSource.monotonicMs() + Math.floorMod(instance.hashCode(), spreadMs);
    }

    /** Returns the registered instances. */
    public Set<String> liveInstances() {
        return new HashSet<>(live);
    }

    /** Returns the registered instances as those that may send to upstreams that are warming up. */
    public SenderRoster roster() {
        return roster;
    }

    @Override
    public Set<InetSocketAddress> peerAddresses() {
        return new LinkedHashSet<>(addresses.values());
    }

    /**
     * Returns the address of the leader of this availability zone. It is one of the instances with the most memory, because
     * it serves the others. Instances that know the same entries choose the same leader.
     */
    @Override
    public Optional<InetSocketAddress> zoneLeader() {
        return changeSources().preferred().stream().findFirst();
    }

    /** Returns the registered instances of a zone in the order in which they lead it while those before cannot. */
    private List<String> rankedInstances(String anyZone) {
        List<String> ranked = new ArrayList<>();
        for (String name : live) {
            if (anyZone.equals(zonesByInstance.get(name))) {
                ranked.add(name);
            }
        }
        ranked.sort(Comparator.<String>comparingLong(name -> memoryMbByInstance.getOrDefault(name, 0L))
                .thenComparingLong(name -> RendezvousHash.hash(LEADER_HASH_KEY, name))
                .thenComparing(Comparator.naturalOrder())
                .reversed());
        return ranked;
    }

    /**
     * Returns the instances from which this one may receive the changes of the store: those of its zone that rank before
     * it, and while the store is unavailable to it also the others of its zone and the first ones of the other zones.
     */
    public ChangeSources changeSources() {
        if (changeSources.isEmpty()) {
            changeSources = Optional.of(findChangeSources());
        }
        return changeSources.get();
    }

    private ChangeSources findChangeSources() {
        List<String> ranked = rankedInstances(zone);
        int own = ranked.indexOf(instance);
        List<String> before = own < 0 ? ranked : ranked.subList(0, own);
        List<String> others = own < 0 ? new ArrayList<>() : new ArrayList<>(ranked.subList(own + 1, ranked.size()));
        for (String other : otherZones()) {
            rankedInstances(other).stream().limit(LEADERS_OF_OTHER_ZONES).forEach(others::add);
        }
        return new ChangeSources(addressesOf(before), addressesOf(others));
    }

    /** Returns the other zones with registered instances, those of this region first. */
    private List<String> otherZones() {
        return zonesByInstance.entrySet().stream()
                .filter(entry -> live.contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .filter(other -> !other.equals(zone))
                .distinct()
                .sorted(Comparator.<String, Boolean>comparing(
                                other -> !regionOf(other).equals(regionOf(zone)))
                        .thenComparingLong(other -> RendezvousHash.hash(instance, other)))
                .toList();
    }

    private String regionOf(String anyZone) {
        return regionsByZone.getOrDefault(anyZone, anyZone);
    }

    private List<InetSocketAddress> addressesOf(List<String> names) {
        return names.stream().map(addresses::get).filter(Objects::nonNull).toList();
    }

    @Override
    public Set<InetSocketAddress> regionalAddresses() {
        Set<InetSocketAddress> regional = new LinkedHashSet<>();
        zonesByInstance.forEach((name, other) -> {
            InetSocketAddress known = addresses.get(name);
            if (known != null && regionOf(other).equals(regionOf(zone))) {
                regional.add(known);
            }
        });
        return regional;
    }

    /** Returns the largest number of instances that were registered at the same time. */
    public int maxFleetSize() {
        return maxFleetSize;
    }

    /** Returns whether some instance holds the duty lease as far as known, or nothing is known yet. */
    public boolean mayLeaseBeHeld() {
        return leaseHeld || !loaded;
    }

    /** Registers this instance, and renews the lease of its entry when that is due. */
    public void tick() {
        long nowMs = timeSource.monotonicMs();
        removeUnlisted(nowMs);
        long renewIntervalMs =
                zoneLeader().isEmpty() || isFollowed.getAsBoolean() ? LEADER_RENEW_INTERVAL_MS : RENEW_INTERVAL_MS;
        boolean renewalDue = leaseId != 0 && nowMs >= lastCallMs + renewIntervalMs;
        boolean due = nowMs >= nextCallMs || renewalDue;
        if (pending || released || !due) {
            return;
        }
        pending = true;
        lastCallMs = nowMs;
        if (ownEntryDeleted) {
            // A first write without a response may be executed later, over the second one and under an expired lease.
            leaseId = 0;
            ownEntryDeleted = false;
        }
        nextCallMs = nowMs + renewIntervalMs;
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
            if (failure == null && StoreRevision.isSameEpoch(revision, lease)) {
                leaseId = lease;
            }
        });
    }

    /** Removes the entry of this instance, because the process stops. */
    public void release() {
        released = true;
        if (leaseId != 0) {
            store.endLease(leaseId);
        }
    }

    @Override
    public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
        Set<String> before = new TreeSet<>(live);
        boolean restored = snapshotRevision >= 0
                && StoreRevision.epochOf(snapshot.revision()) > StoreRevision.epochOf(snapshotRevision);
        snapshotRevision = snapshot.revision();
        live.clear();
        leaseHeld = false;
        snapshot.items().forEach(this::updateEntry);
        if (leaseId != 0 && !live.contains(instance)) {
            leaseId = 0;
            nextCallMs = 0;
        }
        if (restored) {
            long untilMs = timeSource.monotonicMs() + TTL_MS;
            before.removeAll(live);
            before.forEach(name -> keptUntilMs.put(name, untilMs));
        }
        live.addAll(keptUntilMs.keySet());
        changeSources = Optional.empty();
    }

    /** Removes the instances that have not registered again in time. */
    private void removeUnlisted(long nowMs) {
        for (String name : List.copyOf(keptUntilMs.keySet())) {
            if (keptUntilMs.get(name) <= nowMs) {
                keptUntilMs.remove(name);
                live.remove(name);
                changeSources = Optional.empty();
                log.record(EventCode.MEMBER_DEAD, name, "cause", "not registered again");
            }
        }
    }

    @Override
    public void onChange(StoreChange change) {
        if (change.item().isPresent()) {
            updateEntry(change.item().get());
        } else if (change.key().equals(FleetKeys.HOLDER)) {
            leaseHeld = false;
        } else if (change.key().startsWith(FleetKeys.INSTANCES)) {
            String name = change.key().substring(FleetKeys.INSTANCES.length());
            if (name.equals(instance)) {
                ownEntryDeleted = true;
                nextCallMs = 0;
            }
            if (live.remove(name)) {
                changeSources = Optional.empty();
                log.record(EventCode.MEMBER_DEAD, name, "revision", change.revision());
            }
        }
    }

    private void updateEntry(StoreItem item) {
        if (item.key().equals(FleetKeys.HOLDER)) {
            leaseHeld = true;
            return;
        }
        if (!item.key().startsWith(FleetKeys.INSTANCES)) {
            return;
        }
        String name = item.key().substring(FleetKeys.INSTANCES.length());
        try {
            JsonObject value = Json.readObject(item.value());
            if (name.equals(instance)) {
                ownEntryDeleted = false;
            } else {
                addresses.remove(name);
                addresses.put(name, value.address("address"));
                evictOldest();
            }
            zonesByInstance.put(name, value.string("zone"));
            memoryMbByInstance.put(name, value.integer("memory_mb", 0));
            keptUntilMs.remove(name);
            boolean joined = live.add(name);
            changeSources = Optional.empty();
            maxFleetSize = Math.max(maxFleetSize, live.size());
            if (joined) {
                log.record(EventCode.MEMBER_JOINED, name, "revision", item.revision());
            }
        } catch (JsonFormatException | RuntimeException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, item.key(), "cause", String.valueOf(e.getMessage()));
        }
    }

    private void evictOldest() {
        while (addresses.size() > MAX_ADDRESSES) {
            addresses.remove(addresses.keySet().iterator().next());
        }
    }

    @Override
    public void onProgress(long revision) {
        loaded = true;
        roster.confirm(live, timeSource.monotonicMs());
    }

    @Override
    public boolean needsSnapshotAfterOutage() {
        // Registrations that expired in the outage are removed in either case, and added again with the next change.
        return false;
    }

    @Override
    public void onStoreUnavailable(String cause) {
        log.record(EventCode.STORE_UNAVAILABLE, FleetKeys.FLEET, "cause", cause);
    }
}
