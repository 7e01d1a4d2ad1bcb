package org.cranberrybend.controller.lease;

import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cranberrybend.controller.schedule.PeriodicTask;
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
 * Acquires a lease while this process is a candidate for it, and renews it while it is held.
 *
 * <p>{@link #run()} and {@link #release()} are called by one thread; the other methods are thread-safe. The lock is a
 * leaf lock: no other lock is taken and the platform is not called while it is held.
 */
public final class LeaseHolder implements PeriodicTask.Step {
    // Two consecutive renewals may fail before the lease expires.
    private static final int RENEWALS_PER_TTL = 3;

    private final LeaseService leases;
    private final String name;
    private final String holderName;
    private final LeaseTimes times;
    private final BooleanSupplier isCandidate;
    private final TimeSource time;
    private final EventLog events;
    private final Object lock = new Object();
    private final LeaseGuard guard;
    /** Null while no lease is held. */
    private volatile String leaseId;

    /**
     * Creates the holder of a lease.
     *
     * @param holderName name of this process, visible to other processes
     * @param isCandidate whether this process should try to acquire the lease; a lease that is held is renewed
     *     regardless
     */
    public LeaseHolder(
            LeaseService leases,
            String name,
            String holderName,
            LeaseTimes times,
            BooleanSupplier isCandidate,
            TimeSource time,
            EventLog events) {
        this.leases = leases;
        this.name = name;
        this.holderName = holderName;
        this.times = times;
        this.isCandidate = isCandidate;
        this.time = time;
        this.events = events;
        this.guard = new LeaseGuard(times);
    }

    @Override
    public long run() {
        try {
            if (leaseId != null && !isHeld()) {
                endLease("expired");
            }
            if (leaseId != null) {
                renew();
            } else if (isCandidate.getAsBoolean()) {
                acquire();
            }
        } catch (PlatformException e) {
            // The guard treats the lease as expired if no renewal succeeds in time. The next run retries.
            return times.ttlMs() / (2 * RENEWALS_PER_TTL);
        }
        return times.ttlMs() / RENEWALS_PER_TTL;
    }

    private void acquire() throws PlatformException {
        long sentAtMs = time.monotonicMs();
        Optional<LeaseGrant> grant = leases.acquire(name, holderName, times.ttlMs());
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
            endLease("the platform does not know the lease");
        }
    }

    private void endLease(String reason) {
        synchronized (lock) {
            guard.recordLost();
        }
        leaseId = null;
        events.record(EventCode.LEASE_LOST, name, Map.of("reason", reason));
    }

    /** Releases the lease, so that another process does not have to wait for its expiry. */
    public void release() {
        String released = leaseId;
        if (released == null) {
            return;
        }
        endLease("released");
        try {
            leases.release(name, released);
        } catch (PlatformException e) {
            // The platform ends the lease at its expiry.
            return;
        }
    }

    /** Returns whether the lease is held and has not expired. */
    public boolean isHeld() {
        synchronized (lock) {
            return guard.isHeld(time.monotonicMs());
        }
    }

    /** Returns a lease check, or empty if the lease may not be used now. */
    public Optional<LeaseCheck> check() {
        synchronized (lock) {
            return guard.check(time.monotonicMs());
        }
    }

    /** Returns whether a lease check still covers a write that starts now. */
    public boolean covers(LeaseCheck check) {
        synchronized (lock) {
            return guard.covers(check, time.monotonicMs());
        }
    }

    /** Returns whether the takeover delay is over, after which a paused previous lease holder can no longer write. */
    public boolean isTakeoverDelayOver() {
        synchronized (lock) {
            return guard.isTakeoverDelayOver(time.monotonicMs());
        }
    }
}
