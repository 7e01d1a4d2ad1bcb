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
import org.cranberrybend.entry.port.DutyStamp;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * The lease under which this instance does the fleet's duties. Confined to the event loop; {@link #tick} drives it.
 *
 * <p>The platform does not check fencing numbers, so the order in which holders act must be right by itself. A holder
 * acts only while its lease lasts on its own clock, counted from before the last renewal was sent, with room for the
 * longest call; its predecessor has stopped by then. Two holders must not alternate within a given time either, so an
 * instance that held the lease shortly before its predecessor waits for that time before its first act. The fencing
 * number is the revision of the write that took the lease, and only grows.
 */
public final class DutyLease {
    private static final long TTL_MS = 2_600;
    /** Room for one call that begins just before the lease is taken as ended. */
    private static final long SAFETY_MARGIN_MS = 1_000;

    private static final long RENEW_INTERVAL_MS = 600;
    /** Steps by which the instances try to take a free lease one after the other. */
    private static final long ACQUIRE_STEP_MS = 120;

    private static final int ACQUIRE_STEPS = 8;
    /** Holders that are remembered, the last one first. */
    private static final int RECENT_HOLDERS = 6;
    /** Time after an attempt to take the lease before the next one. */
    private static final long ACQUIRE_RETRY_MS = 1_000;
    /** Shift of the time of day against the monotonic clock that may be a suspension of the process. */
    private static final long SUSPENSION_MS = 150;

    private final KeyValueStore store;
    private final String instance;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final LeaseGuard guard;
    private final long alternationMs;
    private long storeLease;
    private FencingNumber number;
    private boolean alternates;
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
     * @param alternationMs time within which two holders must not alternate
     */
    public DutyLease(KeyValueStore store, String instance, long alternationMs, TimeSource timeSource, DecisionLog log) {
        this.store = store;
        this.instance = instance;
        this.alternationMs = alternationMs;
        this.timeSource = timeSource;
        this.log = log;
        this.guard = new LeaseGuard(new LeaseTimes(TTL_MS, SAFETY_MARGIN_MS, SAFETY_MARGIN_MS));
    }

    /** Returns the stamp for a call that begins now; empty if this instance must not make one. */
    public Optional<DutyStamp> stamp() {
        long nowMs = timeSource.monotonicMs();
        noteSuspension();
        boolean waitOver = !alternates || nowMs >= acquiredMs + alternationMs + SAFETY_MARGIN_MS;
        if (released || number == null || !waitOver || guard.check(nowMs).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new DutyStamp(instance, number.value()));
    }

    /** Returns whether this instance holds the lease, though it may still have to wait. */
    public boolean isHeld() {
        return number != null && !released && guard.isHeld(timeSource.monotonicMs());
    }

    /** The monotonic clock stands still while a process is suspended, so a shift of the clocks ends the lease. */
    private void noteSuspension() {
        long offset = timeSource.wallMs() - timeSource.monotonicMs();
        if (offsetKnown && Math.abs(offset - wallOffsetMs) > SUSPENSION_MS && number != null) {
            drop("clocks have shifted by " + (offset - wallOffsetMs) + " ms");
        }
        wallOffsetMs = offset;
        offsetKnown = true;
    }

    /** Does what is due. {@code holderSeen} tells whether the store is known to hold the lease of some instance. */
    public void tick(boolean holderSeen) {
        long nowMs = timeSource.monotonicMs();
        if (released) {
            if (number != null && nowMs >= releaseAtMs) {
                giveBack();
            }
            return;
        }
        noteSuspension();
        if (number != null && !guard.isHeld(nowMs)) {
            drop("not renewed in time");
        }
        if (callPending) {
            return;
        }
        if (number != null) {
            if (nowMs >= nextRenewMs) {
                renew(nowMs);
            }
        } else if (holderSeen) {
            nextAcquireMs = Math.max(nextAcquireMs, nowMs + acquireDelayMs());
        } else if (nowMs >= nextAcquireMs) {
            nextAcquireMs = nowMs + ACQUIRE_RETRY_MS;
            acquire();
        }
    }

    private long acquireDelayMs() {
        return Math.floorMod(instance.hashCode(), ACQUIRE_STEPS) * ACQUIRE_STEP_MS;
    }

    private void renew(long sentMs) {
        callPending = true;
        nextRenewMs = sentMs + RENEW_INTERVAL_MS;
        long lease = storeLease;
        store.renewLease(lease).whenComplete((done, failure) -> {
            callPending = false;
            if (number == null || lease != storeLease) {
                return;
            }
            if (failure == null) {
                guard.recordRenewed(sentMs);
            } else if (StoreException.kindOf(failure) == StoreException.Kind.NOT_FOUND) {
                drop("ended at the store");
            }
        });
    }

    private void acquire() {
        callPending = true;
        long sentMs = timeSource.monotonicMs();
        store.get(FleetKeys.RECENT_HOLDERS)
                .thenCombine(store.grantLease(TTL_MS), (last, lease) -> take(last, lease, sentMs))
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        callPending = false;
                    }
                });
    }

    private Void take(Optional<StoreItem> last, long lease, long sentMs) {
        List<String> before = last.map(item -> holders(item.value())).orElse(List.of());
        List<String> holders = new ArrayList<>(before);
        holders.remove(instance);
        holders.add(0, instance);
        byte[] self = instance.getBytes(StandardCharsets.UTF_8);
        byte[] recent = String.join(",", holders.subList(0, Math.min(holders.size(), RECENT_HOLDERS)))
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
                taken(revision, lease, sentMs, before);
            } else {
                // A write without an answer may still take the lease; it then ends with this lease.
                store.endLease(lease);
            }
        });
        return null;
    }

    private static List<String> holders(byte[] value) {
        return List.of(new String(value, StandardCharsets.UTF_8).split(","));
    }

    private void taken(long revision, long lease, long sentMs, List<String> before) {
        long nowMs = timeSource.monotonicMs();
        number = new FencingNumber(revision);
        storeLease = lease;
        acquiredMs = nowMs;
        alternates = before.indexOf(instance) > 0;
        guard.recordAcquired(number, sentMs, nowMs);
        nextRenewMs = nowMs;
        log.record(
                EventCode.LEASE_ACQUIRED,
                FleetKeys.HOLDER,
                "fencing_number",
                revision,
                "recent_holders",
                String.join(",", before),
                "waits",
                alternates);
    }

    private void drop(String cause) {
        log.record(EventCode.LEASE_LOST, FleetKeys.HOLDER, "cause", cause, "fencing_number", number.value());
        number = null;
        guard.recordLost();
        nextAcquireMs = timeSource.monotonicMs() + ACQUIRE_RETRY_MS + acquireDelayMs();
    }

    /** Makes no more calls, and gives the lease back when the last one has certainly ended. */
    public void release() {
        if (!released) {
            released = true;
            releaseAtMs = timeSource.monotonicMs() + SAFETY_MARGIN_MS;
        }
    }

    private void giveBack() {
        log.record(EventCode.LEASE_LOST, FleetKeys.HOLDER, "cause", "released", "fencing_number", number.value());
        number = null;
        guard.recordLost();
        store.endLease(storeLease);
    }
}
