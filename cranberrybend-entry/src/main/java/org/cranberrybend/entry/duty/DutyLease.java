package org.cranberrybend.entry.duty;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.FencingNumber;
import org.cranberrybend.core.lease.LeaseGuard;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.DutyGrant;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
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
 */
public final class DutyLease {
    private static final long TTL_MS = 2_600;
    /** Time before the expiry from which no call is started; covers the longest call. */
    private static final long SAFETY_MARGIN_MS = 1_000;

    private static final long RENEW_INTERVAL_MS = 600;
    /** Interval between the acquisition attempts of different instances, so that they do not collide. */
    private static final long ACQUIRE_STAGGER_MS = 120;

    private static final int ACQUIRE_SLOTS = 8;
    /** Number of recent holders stored, the latest first. */
    private static final int MAX_RECENT_HOLDERS = 6;
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

    /** Gives up the lease if the clocks have shifted: the monotonic clock stands still while the process is suspended. */
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
        } else if (leaseMayBeHeld) {
            nextAcquireMs = Math.max(nextAcquireMs, nowMs + acquireDelayMs());
        } else if (nowMs >= nextAcquireMs) {
            nextAcquireMs = nowMs + ACQUIRE_RETRY_MS;
            acquire();
        }
    }

    private long acquireDelayMs() {
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
        store.get(FleetKeys.RECENT_HOLDERS)
                .thenCombine(store.grantLease(TTL_MS), (last, lease) -> writeHolder(last, lease, sentMs))
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        callPending = false;
                    }
                });
    }

    private Void writeHolder(Optional<StoreItem> last, long lease, long sentMs) {
        List<String> previousHolders =
                last.map(item -> parseHolders(item.value())).orElse(List.of());
        List<String> holders = new ArrayList<>(previousHolders);
        holders.remove(instance);
        holders.add(0, instance);
        byte[] self = instance.getBytes(StandardCharsets.UTF_8);
        byte[] recent = String.join(",", holders.subList(0, Math.min(holders.size(), MAX_RECENT_HOLDERS)))
                .getBytes(StandardCharsets.UTF_8);
        Map<String, Long> conditions = new LinkedHashMap<>();
        conditions.put(FleetKeys.HOLDER, 0L);
        conditions.put(FleetKeys.RECENT_HOLDERS, last.map(StoreItem::revision).orElse(0L));
        StoreWrite write = new StoreWrite(
                conditions,
                List.of(
                        new StoreWrite.Put(FleetKeys.HOLDER, self, lease),
                        new StoreWrite.Put(FleetKeys.RECENT_HOLDERS, recent, 0)),
                List.of());
        store.write(write).whenComplete((revision, failure) -> {
            callPending = false;
            if (failure == null) {
                acquired(revision, lease, sentMs, previousHolders);
            } else {
                // If the outcome is unknown, the write may still be executed; ending the lease deletes its key.
                store.endLease(lease);
            }
        });
        return null;
    }

    private static List<String> parseHolders(byte[] value) {
        return List.of(new String(value, StandardCharsets.UTF_8).split(","));
    }

    private void acquired(long revision, long lease, long sentMs, List<String> previousHolders) {
        long nowMs = timeSource.monotonicMs();
        fencingNumber = new FencingNumber(revision);
        leaseId = lease;
        acquiredMs = nowMs;
        takeoverDelayed = previousHolders.indexOf(instance) > 0;
        guard.recordAcquired(fencingNumber, sentMs, nowMs);
        nextRenewMs = nowMs;
        log.record(
                EventCode.LEASE_ACQUIRED,
                FleetKeys.HOLDER,
                "fencing_number",
                revision,
                "recent_holders",
                String.join(",", previousHolders),
                "waits",
                takeoverDelayed);
    }

    private void loseLease(String cause) {
        log.record(EventCode.LEASE_LOST, FleetKeys.HOLDER, "cause", cause, "fencing_number", fencingNumber.value());
        fencingNumber = null;
        guard.recordLost();
        nextAcquireMs = timeSource.monotonicMs() + ACQUIRE_RETRY_MS + acquireDelayMs();
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
