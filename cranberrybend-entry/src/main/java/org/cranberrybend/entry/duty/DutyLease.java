package org.cranberrybend.entry.duty;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.FencingNumber;
import org.cranberrybend.core.lease.LeaseGuard;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * The lease under which one instance performs the duties of the fleet. Confined to the event loop; driven by
 * {@link #tick}.
 *
 * <p>The platform does not check fencing numbers, so the lease alone must keep the calls of two holders apart. A holder
 * makes calls only until its lease expires on its own clock, counted from before the last renewal was sent, less a
 * margin for the longest call; its calls have ended when a successor can acquire the lease. Two holders must also not
 * alternate within a given time, so an instance that held the lease before its predecessor delays its first call by
 * that time. The fencing number is the revision of the write that acquired the lease, so it only grows.
 *
 * <p>A store that is restored from an older copy has lost the lease, or lists an earlier holder. The holder stops as soon
 * as it learns of it, but another instance may learn it first and acquire the lease while the holder still acts. The first
 * holder in an epoch therefore delays its first call, too, unless it is the one that held the lease until then. The epoch
 * stands with the recent holders.
 */
public final class DutyLease {
    private static final long TTL_MS = 2_600;
    /** Time before the expiry from which no call is started; covers the longest call. */
    private static final long SAFETY_MARGIN_MS = 1_000;

    /** Longest time after the last response of the store for which a holder makes calls. */
    static final long MAX_HELD_MS = TTL_MS - SAFETY_MARGIN_MS;

    private static final long RENEW_INTERVAL_MS = 600;
    /** Interval between the acquisition attempts of different instances, so that they do not collide. */
    private static final long ACQUIRE_STAGGER_MS = 120;

    private static final int ACQUIRE_SLOTS = 8;
    /** Number of recent holders stored, the latest first. */
    private static final int MAX_RECENT_HOLDERS = 6;
    /** Separates the epoch from the recent holders. */
    private static final char EPOCH_SEPARATOR = '|';
    /** Time between two acquisition attempts of one instance. */
    private static final long ACQUIRE_RETRY_MS = 1_000;
    /** Shift between wall clock and monotonic clock above which a suspension of the process is assumed. */
    private static final long MAX_CLOCK_SHIFT_MS = 150;

    private final KeyValueStore store;
    private final String instance;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final LeaseGuard guard;
    private final long takeoverDelayMs;
    private long leaseId;
    private FencingNumber fencingNumber;
    private boolean takeoverDelayed;
    private long acquiredMs;
    private long nextAcquireMs;
    private long nextRenewMs;
    private boolean callPending;
    private boolean released;
    private long releaseAtMs;
    private long wallOffsetMs;
    private boolean offsetKnown;
    /** Epoch of the store at whose start this instance held the lease. */
    private long heldAtStartOfEpoch = StoreEpoch.UNKNOWN;

    /** The recent holders as stored, with the epoch in which they were written. */
    private record RecentHolders(long epoch, List<String> names) {
        static RecentHolders parse(byte[] value) {
            String text = new String(value, StandardCharsets.UTF_8);
            int separator = text.indexOf(EPOCH_SEPARATOR);
            long epoch = separator < 0 ? 0 : Long.parseLong(text.substring(0, separator));
            return new RecentHolders(
                    epoch, List.of(text.substring(separator + 1).split(",")));
        }

        byte[] encode() {
            return (epoch + String.valueOf(EPOCH_SEPARATOR) + String.join(",", names)).getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * Creates a lease that is not held.
     *
     * @param takeoverDelayMs time within which two holders must not alternate
     */
    public DutyLease(
            KeyValueStore store, String instance, long takeoverDelayMs, TimeSource timeSource, DecisionLog log) {
        this.store = store;
        this.instance = instance;
        this.takeoverDelayMs = takeoverDelayMs;
        this.timeSource = timeSource;
        this.log = log;
        this.guard = new LeaseGuard(new LeaseTimes(TTL_MS, SAFETY_MARGIN_MS, SAFETY_MARGIN_MS));
        store.epoch().onRestored(this::onRestored);
    }

    private void onRestored() {
        if (fencingNumber == null) {
            return;
        }
        if (guard.isHeld(timeSource.monotonicMs())) {
            heldAtStartOfEpoch = store.epoch().current();
        }
        loseLease("the store was restored");
    }

    /**
     * Returns whether this instance held the lease until the present epoch of the store, so that no other instance has
     * acted in the earlier epoch after it.
     */
    boolean wasHeldUntilThisEpoch() {
        return heldAtStartOfEpoch != StoreEpoch.UNKNOWN
                && heldAtStartOfEpoch == store.epoch().current();
    }

    /** Returns the grant for a call that starts now; empty if this instance must not make one. */
    public Optional<DutyGrant> grant() {
        long nowMs = timeSource.monotonicMs();
        checkSuspension();
        boolean delayOver = !takeoverDelayed || nowMs >= acquiredMs + takeoverDelayMs + SAFETY_MARGIN_MS;
        if (released
                || fencingNumber == null
                || !delayOver
                || guard.check(nowMs).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new DutyGrant(instance, fencingNumber.value()));
    }

    /** Returns whether this instance holds the lease, even if its takeover delay is not over. */
    public boolean isHeld() {
        return fencingNumber != null && !released && guard.isHeld(timeSource.monotonicMs());
    }

    /**
     * Treats the lease as lost if the clocks have shifted against each other: the monotonic clock stands still while
     * the process is suspended.
     */
    private void checkSuspension() {
        long offset = timeSource.wallMs() - timeSource.monotonicMs();
        if (offsetKnown && Math.abs(offset - wallOffsetMs) > MAX_CLOCK_SHIFT_MS && fencingNumber != null) {
            loseLease("clocks have shifted by " + (offset - wallOffsetMs) + " ms");
        }
        wallOffsetMs = offset;
        offsetKnown = true;
    }

    /**
     * Renews, acquires or ends the lease when that is due.
     *
     * @param leaseMayBeHeld whether some instance holds the lease as far as known, or nothing is known yet
     */
    public void tick(boolean leaseMayBeHeld) {
        long nowMs = timeSource.monotonicMs();
        if (released) {
            if (fencingNumber != null && nowMs >= releaseAtMs) {
                endLease();
            }
            return;
        }
        checkSuspension();
        if (fencingNumber != null && !guard.isHeld(nowMs)) {
            loseLease("not renewed in time");
        }
        if (callPending) {
            return;
        }
        if (fencingNumber != null) {
            if (nowMs >= nextRenewMs) {
                renew(nowMs);
            }
        } else if (leaseMayBeHeld && !wasHeldUntilThisEpoch()) {
            nextAcquireMs = Math.max(nextAcquireMs, nowMs + acquireDelayMs());
        } else if (nowMs >= nextAcquireMs) {
            nextAcquireMs = nowMs + ACQUIRE_RETRY_MS;
            acquire();
        }
    }

    private long acquireDelayMs() {
        if (wasHeldUntilThisEpoch()) {
            // It knows which reports were sent in the earlier epoch, and need not wait.
            return 0;
        }
        return Math.floorMod(instance.hashCode(), ACQUIRE_SLOTS) * ACQUIRE_STAGGER_MS;
    }

    private void renew(long sentMs) {
        callPending = true;
        nextRenewMs = sentMs + RENEW_INTERVAL_MS;
        long lease = leaseId;
        store.renewLease(lease).whenComplete((done, failure) -> {
            callPending = false;
            if (fencingNumber == null || lease != leaseId) {
                return;
            }
            if (failure == null) {
                guard.recordRenewed(sentMs);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.NOT_FOUND) {
                loseLease("ended at the store");
            }
        });
    }

    private void acquire() {
        callPending = true;
        long sentMs = timeSource.monotonicMs();
        CompletableFuture<Optional<StoreItem>> ownKey = wasHeldUntilThisEpoch()
                ? store.get(FleetKeys.HOLDER)
                : CompletableFuture.completedFuture(Optional.empty());
        ownKey.thenCompose(holder -> store.get(FleetKeys.RECENT_HOLDERS)
                        .thenCombine(
                                store.grantLease(TTL_MS), (last, lease) -> writeHolder(holder, last, lease, sentMs)))
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        callPending = false;
                    }
                });
    }

    /** Returns the revision that the key of the holder must have: that of a copy's own entry, or none. */
    private long expectedHolderRevision(Optional<StoreItem> holder) {
        return holder.filter(item -> new String(item.value(), StandardCharsets.UTF_8).equals(instance))
                .map(StoreItem::revision)
                .orElse(0L);
    }

    private Void writeHolder(Optional<StoreItem> holder, Optional<StoreItem> last, long lease, long sentMs) {
        RecentHolders previous =
                last.map(item -> RecentHolders.parse(item.value())).orElse(new RecentHolders(0, List.of()));
        List<String> holders = new ArrayList<>(previous.names());
        holders.remove(instance);
        holders.add(0, instance);
        byte[] self = instance.getBytes(StandardCharsets.UTF_8);
        byte[] recent = new RecentHolders(
                        StoreRevision.epochOf(lease), holders.subList(0, Math.min(holders.size(), MAX_RECENT_HOLDERS)))
                .encode();
        Map<String, Long> conditions = new LinkedHashMap<>();
        conditions.put(FleetKeys.HOLDER, expectedHolderRevision(holder));
        conditions.put(FleetKeys.RECENT_HOLDERS, last.map(StoreItem::revision).orElse(0L));
        StoreWrite write = new StoreWrite(
                conditions,
                List.of(
                        new StoreWrite.Put(FleetKeys.HOLDER, self, lease),
                        new StoreWrite.Put(FleetKeys.RECENT_HOLDERS, recent, 0)),
                List.of());
        store.write(write).whenComplete((revision, failure) -> {
            callPending = false;
            if (failure == null && StoreRevision.isSameEpoch(revision, lease)) {
                acquired(revision, lease, sentMs, previous);
            } else {
                // If the outcome is unknown, the write may still be executed; ending the lease deletes its key.
                store.endLease(lease);
                if (failure != null && StoreException.kindOf(failure) == StoreException.Kind.CONDITION_FAILED) {
                    // Another instance has acquired the lease in this epoch.
                    heldAtStartOfEpoch = StoreEpoch.UNKNOWN;
                }
            }
        });
        return null;
    }

    private void acquired(long revision, long lease, long sentMs, RecentHolders previous) {
        long nowMs = timeSource.monotonicMs();
        fencingNumber = new FencingNumber(revision);
        leaseId = lease;
        acquiredMs = nowMs;
        takeoverDelayed = StoreRevision.epochOf(lease) == previous.epoch()
                ? previous.names().indexOf(instance) > 0
                : !wasHeldUntilThisEpoch();
        guard.recordAcquired(fencingNumber, sentMs, nowMs);
        nextRenewMs = nowMs;
        log.record(
                EventCode.LEASE_ACQUIRED,
                FleetKeys.HOLDER,
                "fencing_number",
                revision,
                "recent_holders",
                String.join(",", previous.names()),
                "waits",
                takeoverDelayed);
    }

    private void loseLease(String cause) {
        log.record(EventCode.LEASE_LOST, FleetKeys.HOLDER, "cause", cause, "fencing_number", fencingNumber.value());
        fencingNumber = null;
        guard.recordLost();
        long retryMs = wasHeldUntilThisEpoch() ? 0 : ACQUIRE_RETRY_MS + acquireDelayMs();
        nextAcquireMs = timeSource.monotonicMs() + retryMs;
    }

    /** Makes no more calls, and ends the lease when the last one has certainly ended. */
    public void release() {
        if (!released) {
            released = true;
            releaseAtMs = timeSource.monotonicMs() + SAFETY_MARGIN_MS;
        }
    }

    private void endLease() {
        log.record(
                EventCode.LEASE_LOST, FleetKeys.HOLDER, "cause", "released", "fencing_number", fencingNumber.value());
        fencingNumber = null;
        guard.recordLost();
        store.endLease(leaseId);
    }
}
