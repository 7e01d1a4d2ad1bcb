package org.cranberrybend.controller.lease;

import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cranberrybend.controller.schedule.RepeatedTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.lease.FencingNumber;
import org.cranberrybend.core.lease.LeaseCheck;
import org.cranberrybend.core.lease.LeaseGuard;
import org.cranberrybend.core.lease.LeaseTimes;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.LeaseGrant;
import org.cranberrybend.runtime.platform.LeaseService;
import org.cranberrybend.runtime.platform.PlatformException;

/**
 * Acquires one lease while this process is a candidate for it, and renews it while it is held.
 *
 * <p>{@link #run()} is called by one thread; checks may come from any. The lock is a leaf: nothing is called while it
 * is held, and no call to the platform is made under it.
 */
public final class LeaseHolder implements RepeatedTask.Step {
    // Two renewals may fail before the lease is lost.
    private static final int RENEWALS_PER_TTL = 3;

    private final LeaseService leases;
    private final String name;
    private final String holder;
    private final LeaseTimes times;
    private final BooleanSupplier candidate;
    private final TimeSource time;
    private final EventLog events;
    private final Object lock = new Object();
    private final LeaseGuard guard;
    /** Null while no lease is held. */
    private volatile String leaseId;

    /**
     * Creates the holder of a lease.
     *
     * @param holder name of this process, shown to others
     * @param candidate whether this process should try to get the lease; it keeps a lease that it has
     */
    public LeaseHolder(
            LeaseService leases,
            String name,
            String holder,
            LeaseTimes times,
            BooleanSupplier candidate,
            TimeSource time,
            EventLog events) {
        this.leases = leases;
        this.name = name;
        this.holder = holder;
        this.times = times;
        this.candidate = candidate;
        this.time = time;
        this.events = events;
        this.guard = new LeaseGuard(times);
    }

    @Override
    public long run() {
        try {
            if (leaseId != null && !isHeld()) {
                loseLease("expired");
            }
            if (leaseId != null) {
                renew();
            } else if (candidate.getAsBoolean()) {
                acquire();
            }
        } catch (PlatformException e) {
            // The guard lets the lease expire by itself; the next run tries again.
            return times.ttlMs() / (2 * RENEWALS_PER_TTL);
        }
        return times.ttlMs() / RENEWALS_PER_TTL;
    }

    private void acquire() throws PlatformException {
        long sentAtMs = time.monotonicMs();
        Optional<LeaseGrant> grant = leases.acquire(name, holder, times.ttlMs());
        if (grant.isEmpty()) {
            return;
        }
        long receivedAtMs = time.monotonicMs();
        synchronized (lock) {
            guard.recordAcquired(new FencingNumber(grant.get().fencingNumber()), sentAtMs, receivedAtMs);
        }
        leaseId = grant.get().leaseId();
        events.record(
                EventCode.LEASE_ACQUIRED,
                name,
                Map.of("fencing_number", grant.get().fencingNumber()));
        events.record(EventCode.SUCCESSOR_WAITING, name, Map.of("wait_ms", times.takeoverDelayMs()));
    }

    private void renew() throws PlatformException {
        long sentAtMs = time.monotonicMs();
        if (leases.renew(name, leaseId)) {
            synchronized (lock) {
                guard.recordRenewed(sentAtMs);
            }
        } else {
            loseLease("not known to the platform");
        }
    }

    private void loseLease(String reason) {
        synchronized (lock) {
            guard.recordLost();
        }
        leaseId = null;
        events.record(EventCode.LEASE_LOST, name, Map.of("reason", reason));
    }

    /** Gives the lease back, so that another process need not wait for its expiry. */
    public void release() {
        String released = leaseId;
        if (released == null) {
            return;
        }
        loseLease("released");
        try {
            leases.release(name, released);
        } catch (PlatformException e) {
            // The lease expires by itself.
            return;
        }
    }

    /** Returns whether the lease is held and not expired. */
    public boolean isHeld() {
        synchronized (lock) {
            return guard.isHeld(time.monotonicMs());
        }
    }

    /** Returns a check if the lease may be used now. */
    public Optional<LeaseCheck> check() {
        synchronized (lock) {
            return guard.check(time.monotonicMs());
        }
    }

    /** Returns whether a check still covers a write that begins now. */
    public boolean covers(LeaseCheck check) {
        synchronized (lock) {
            return guard.covers(check, time.monotonicMs());
        }
    }

    /** Returns whether a predecessor that was paused can no longer write. */
    public boolean isSuccessorWaitOver() {
        synchronized (lock) {
            return guard.isTakeoverDelayOver(time.monotonicMs());
        }
    }
}
