package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.RendezvousHash;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.Decoder;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.store.PrefixWatch;

/**
 * The upstreams that have an entry in the store. Confined to the event loop.
 *
 * <p>Entries expire while the store is unavailable, because upstreams cannot renew them, and are written again within
 * about two seconds after its return. During a grace period after an outage, an upstream whose entry is missing is
 * therefore kept ({@link ExpiryGracePeriod}).
 *
 * <p>A store that is restored from an older copy lacks the entries that were written since, lists processes again that
 * have left since, and calls others ready that are leaving. What is missing there is kept as after an outage, what has
 * left stays away until its entry is written again, and a process that is leaving stays so.
 */
public final class UpstreamTable implements PrefixWatch.Listener {
    /** Upper bound of the time added to a pause. */
    private static final long MAX_PAUSE_JITTER_MS = 500;
    /** Part of a pause that may be added to it. */
    private static final long PAUSE_JITTER_DIVISOR = 10;

    private final String prefix;
    private final Decoder<UpstreamRecord> decoder;
    private final HttpConnector connector;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Map<String, Upstream> byId = new TreeMap<>();
    /** The upstreams in {@link #byId} by service. Lists are replaced, not changed, when upstreams join or leave. */
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    /** The same lists in the order of the engines' hashes, for services with too many upstreams to examine all. */
    private final Map<String, List<Upstream>> byServiceInHashOrder = new HashMap<>();
    /** Whether an upstream has joined, left or changed its service since the lists by service were made. */
    private boolean byServiceOutdated;
    /** Entries of the upstreams in {@link #byId} as read from the store. */
    private final Map<String, StoreItem> itemsById = new TreeMap<>();

    private final ServiceModels serviceModels = new ServiceModels();
    private final ProcessStatements statements = new ProcessStatements();
    private final RateLimits rateLimits;
    private final ExpiryGracePeriod gracePeriod = new ExpiryGracePeriod();
    private final DepartedProcesses departed = new DepartedProcesses();

    private long lastProgressMs = Long.MIN_VALUE / 2;
    private long revision = -1;
    private boolean storeUnavailable;
    private boolean loaded;

    /** Creates an empty table of the entries under a prefix. */
    public UpstreamTable(
            String prefix,
            Decoder<UpstreamRecord> decoder,
            HttpConnector connector,
            TimeSource timeSource,
            DecisionLog log) {
        this.prefix = prefix;
        this.decoder = decoder;
        this.connector = connector;
        this.timeSource = timeSource;
        this.log = log;
        this.rateLimits = new RateLimits(timeSource, log);
    }

    /** Returns whether the entries are known, from the store or from a peer. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns what is learned of the upstreams of each service. */
    public ServiceModels serviceModels() {
        return serviceModels;
    }

    /** Returns the rate limits that upstreams have stated. */
    public RateLimits rateLimits() {
        return rateLimits;
    }

    /** Returns the time since the store last confirmed the table, in milliseconds. */
    public long ageMs() {
        return timeSource.monotonicMs() - lastProgressMs;
    }

    /** Returns whether a call to the store has failed since its last response. */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Returns the revision of the store up to which the entries are known; negative before the first read. */
    public long revision() {
        return revision;
    }

    /** Returns the entries as read from the store. */
    public List<StoreItem> items() {
        return List.copyOf(itemsById.values());
    }

    /**
     * Applies the entries known to a peer if they are of a later revision of the store. An upstream that the peer does
     * not know is kept for a grace period if the store may have been away for all: the peer may have read it first.
     */
    public void mergePeerState(List<StoreItem> items, long peerRevision) {
        if (peerRevision <= revision) {
            return;
        }
        long nowMs = timeSource.monotonicMs();
        if (isOfLaterEpoch(peerRevision)) {
            enterEpoch(peerRevision, nowMs);
        }
        Set<String> listed = items.stream().map(StoreItem::key).collect(Collectors.toSet());
        for (String id : new ArrayList<>(byId.keySet())) {
            if (!listed.contains(prefix + id)
                    && !gracePeriod.tryKeep(id, nowMs)
                    && !gracePeriod.tryKeepWithoutStore(id, ageMs(), nowMs)) {
                remove(id, "not listed by a peer");
            }
        }
        for (StoreItem item : items) {
            StoreItem known = itemsById.get(item.key().substring(prefix.length()));
            if (known == null || known.revision() < item.revision()) {
                applyEntry(item);
            }
        }
        revision = peerRevision;
        loaded = true;
    }

    @Override
    public void onSnapshot(StoreSnapshot snapshot, long outageMs) {
        long nowMs = timeSource.monotonicMs();
        if (isOfLaterEpoch(snapshot.revision())) {
            enterEpoch(snapshot.revision(), nowMs);
        } else if (outageMs > 0 && gracePeriod.onStoreReturn(outageMs, nowMs)) {
            Object length = outageMs == PrefixWatch.UNKNOWN_OUTAGE_MS ? "unknown" : outageMs;
            log.record(EventCode.STORE_AVAILABLE, prefix, "outage_ms", length);
        }
        Set<String> listed = snapshot.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        for (String id : new ArrayList<>(byId.keySet())) {
            if (!listed.contains(prefix + id)) {
                handleMissingEntry(id, nowMs);
            }
        }
        snapshot.items().forEach(this::applyEntry);
        loaded = true;
    }

    private boolean isOfLaterEpoch(long nextRevision) {
        return revision >= 0 && StoreRevision.epochOf(nextRevision) > StoreRevision.epochOf(revision);
    }

    /** Prepares for the first entries of a restored store, some of which may be older than those known. */
    private void enterEpoch(long firstRevision, long nowMs) {
        log.record(EventCode.STORE_RESTORED, prefix, "revision", firstRevision, "known_revision", revision);
        gracePeriod.onStoreReturn(PrefixWatch.UNKNOWN_OUTAGE_MS, nowMs);
        departed.onStoreRestored(firstRevision);
        for (Upstream each : byId.values()) {
            if (each.isLeaving()) {
                statements.addLeaving(each.entry());
                each.markLeavingStated();
            }
        }
    }

    @Override
    public void onChange(StoreChange change) {
        if (change.item().isPresent()) {
            applyEntry(change.item().get());
        } else {
            handleMissingEntry(change.key().substring(prefix.length()), timeSource.monotonicMs());
        }
    }

    @Override
    public void onProgress(long storeRevision) {
        revision = storeRevision;
        storeUnavailable = false;
        lastProgressMs = timeSource.monotonicMs();
        removeExpired(lastProgressMs);
    }

    @Override
    public void onStoreUnavailable(String cause) {
        storeUnavailable = true;
        log.record(EventCode.STORE_UNAVAILABLE, prefix, "cause", cause);
    }

    private void handleMissingEntry(String id, long nowMs) {
        if (!byId.containsKey(id)) {
            return;
        }
        if (!gracePeriod.tryKeep(id, nowMs)) {
            remove(id, "not listed");
        }
    }

    /**
     * Removes the upstreams without an entry whose grace period after an outage has ended. Called periodically; has no
     * effect while the store is unavailable, because no upstream can write its entry then.
     */
    public void removeExpired(long nowMs) {
        if (!storeUnavailable) {
            gracePeriod.endedAt(nowMs).forEach(id -> remove(id, "not listed after a store outage"));
        }
    }

    private void remove(String id, String cause) {
        Upstream upstream = byId.remove(id);
        itemsById.remove(id);
        gracePeriod.remove(id);
        byServiceOutdated = true;
        if (upstream != null) {
            departed.add(upstream.entry());
            upstream.markRemoved();
            rateLimits.onRemoved(upstream.entry());
            log.record(
                    EventCode.UPSTREAM_GONE,
                    id,
                    "cause",
                    cause,
                    "service",
                    upstream.entry().service());
        }
    }

    private void applyEntry(StoreItem item) {
        String id = item.key().substring(prefix.length());
        gracePeriod.remove(id);
        UpstreamRecord record;
        try {
            record = decoder.decode(id, item.value());
        } catch (JsonFormatException | RuntimeException e) {
            log.record(EventCode.UPSTREAM_UNREADABLE, item.key(), "cause", e.getMessage());
            remove(id, "entry cannot be decoded");
            return;
        }
        if (departed.isOutdated(record, item.revision())) {
            return;
        }
        itemsById.put(id, item);
        Upstream known = byId.get(id);
        boolean sameProcess = known != null
                && known.entry().address().equals(record.address())
                && known.entry().startedAtMs() == record.startedAtMs();
        boolean wasLeaving = sameProcess && known.entry().leaving();
        if (!sameProcess) {
            if (known != null) {
                remove(id, "restarted");
                itemsById.put(id, item);
            }
            Upstream joined = new Upstream(
                    record,
                    new ConnectionPool(connector, record.address(), timeSource),
                    rateLimits.of(record),
                    serviceModels.engines(record.service()),
                    serviceModels.load(record.service()));
            if (statements.isLeaving(record)) {
                joined.markLeavingStated();
            }
            if (statements.pausedUntilMs(record) > 0) {
                joined.pauseUntil(statements.pausedUntilMs(record));
            }
            byId.put(id, joined);
            byServiceOutdated = true;
            log.record(
                    EventCode.UPSTREAM_JOINED,
                    id,
                    "service",
                    record.service(),
                    "zone",
                    record.zone(),
                    "revision",
                    item.revision());
        } else {
            byServiceOutdated |= !known.entry().service().equals(record.service());
            known.update(record);
        }
        if (byId.get(id).stateWarmUp(record.warmUpRemainingMs(), item.revision(), timeSource.monotonicMs())) {
            log.record(
                    EventCode.UPSTREAM_WARMING_UP,
                    id,
                    "service",
                    record.service(),
                    "remaining_ms",
                    record.warmUpRemainingMs(),
                    "cause",
                    "entry");
        }
        if (record.leaving() && !wasLeaving) {
            log.record(EventCode.UPSTREAM_LEAVING, id, "service", record.service(), "revision", item.revision());
        }
        if (record.leaving()) {
            byId.get(id).pool().discardIdle();
        }
    }

    /** Records that an upstream has stated in a response that it is leaving: it receives nothing more from here. */
    public void recordLeaving(Upstream upstream) {
        if (statements.addLeaving(upstream.entry())) {
            UpstreamRecord entry = upstream.entry();
            log.record(EventCode.UPSTREAM_LEAVING, entry.id(), "service", entry.service(), "cause", "response");
        }
        upstream.markLeavingStated();
    }

    /**
     * Records that an upstream has asked in a response for no requests from this instance. It gets a little longer, by a
     * time that differs among instances, so that they do not return at the same moment.
     */
    public void recordPause(Upstream upstream, long pauseMs) {
        long nowMs = timeSource.monotonicMs();
        UpstreamRecord entry = upstream.entry();
        long maxJitterMs = Math.min(MAX_PAUSE_JITTER_MS, pauseMs / PAUSE_JITTER_DIVISOR);
        long jitterMs = Math.floorMod(RendezvousHash.hash(entry.id(), Long.toString(nowMs)), 1 + maxJitterMs);
        boolean wasPaused = upstream.isPaused(nowMs);
        upstream.pauseUntil(statements.addPause(entry, nowMs + pauseMs + jitterMs));
        if (!wasPaused) {
            log.record(EventCode.UPSTREAM_PAUSED, entry.id(), "service", entry.service(), "pause_ms", pauseMs);
        }
    }

    /**
     * Sets whether connections to the upstreams of a zone are kept for later requests. Upstreams that join the zone
     * later have no connections to close, since they receive no requests meanwhile.
     */
    public void keepConnections(String zone, boolean kept) {
        for (Upstream each : byId.values()) {
            if (each.entry().zone().equals(zone)) {
                if (kept) {
                    each.resumeConnections();
                } else {
                    each.suspendConnections();
                }
            }
        }
    }

    /** Returns the number of requests of this process in progress at upstreams of the given zones. */
    public long runningIn(Set<String> zones) {
        return byId.values().stream()
                .filter(each -> zones.contains(each.entry().zone()))
                .mapToLong(Upstream::running)
                .sum();
    }

    /**
     * Records that the upstreams of a zone may have become cold, because its evacuation has ended. Each counts as warming
     * up for the whole phase of its service, unless its entry was written after the end and says otherwise.
     *
     * @param endRevision revision of the store in which the evacuation ended
     */
    public void markWarmingUp(String zone, long endRevision, WarmUpLimiter warmUp) {
        long nowMs = timeSource.monotonicMs();
        for (Upstream each : byId.values()) {
            StoreItem item = itemsById.get(each.entry().id());
            boolean stated = item != null && item.revision() > endRevision;
            if (!stated && each.entry().zone().equals(zone)) {
                warmUp.assumeWarmUp(each, endRevision, "end of an evacuation", nowMs);
            }
        }
    }

    /**
     * Returns whether a change alters the entries in the store. Upstreams also rewrite their entries unchanged as a
     * heartbeat, which keeps the revision of their creation. A remaining warm-up time that falls as time passes is no
     * alteration either; one that ends later than known is.
     *
     * <p>The table alone cannot tell: it keeps upstreams whose entries have expired, and may know changes from a peer
     * before the store sends them. Both differ in the revision of the creation.
     */
    public boolean isMaterialChange(StoreChange change) {
        String id = change.key().substring(prefix.length());
        StoreItem known = itemsById.get(id);
        if (known == null || change.item().isEmpty()) {
            return true;
        }
        StoreItem item = change.item().get();
        if (item.createdRevision() != known.createdRevision()) {
            return true;
        }
        try {
            UpstreamRecord next = decoder.decode(id, item.value());
            Upstream current = byId.get(id);
            return !next.equalsExceptWarmUp(current.entry())
                    || current.isWarmUpExtended(next.warmUpRemainingMs(), timeSource.monotonicMs());
        } catch (JsonFormatException | RuntimeException e) {
            return true;
        }
    }

    /**
     * Returns the load reports that are not older than the given age.
     *
     * @param receivedHereOnly whether reports are left out that came from other instances
     */
    public List<LoadReport> loadReports(long maxAgeMs, boolean receivedHereOnly) {
        long nowMs = timeSource.monotonicMs();
        return byId.values().stream()
                .flatMap(each -> each.loadReport(maxAgeMs, receivedHereOnly, nowMs).stream())
                .collect(Collectors.toList());
    }

    /** Applies load reports that another instance has received, where they are newer than those known here. */
    public void mergeLoadReports(List<LoadReport> reports) {
        long nowMs = timeSource.monotonicMs();
        for (LoadReport report : reports) {
            Upstream upstream = byId.get(report.upstreamId());
            if (upstream != null) {
                upstream.mergeLoadReport(report, nowMs);
            }
        }
    }

    /** Returns all listed upstreams in the order of their identifiers. */
    public Collection<Upstream> all() {
        return byId.values();
    }

    /** Returns the listed upstreams of a service, leaving ones included, in the order of their identifiers. */
    public List<Upstream> ofService(String service) {
        if (byServiceOutdated) {
            groupByService();
        }
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstreams of a service with many, in an order that all instances derive from their identifiers. */
    List<Upstream> ofServiceByHash(String service) {
        if (byServiceOutdated) {
            groupByService();
        }
        return byServiceInHashOrder.getOrDefault(service, List.of());
    }

    private void groupByService() {
        byServiceOutdated = false;
        byService.clear();
        for (Upstream upstream : byId.values()) {
            byService
                    .computeIfAbsent(upstream.entry().service(), name -> new ArrayList<>())
                    .add(upstream);
        }
        byServiceInHashOrder.clear();
        byService.forEach((service, upstreams) -> {
            if (upstreams.size() > UpstreamSelector.MAX_EXAMINED) {
                List<Upstream> ordered = new ArrayList<>(upstreams);
                ordered.sort(Comparator.comparingLong(each -> each.engine().hash()));
                byServiceInHashOrder.put(service, ordered);
            }
        });
    }

    /** Returns an upstream. */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
