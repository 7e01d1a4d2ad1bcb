package org.cranberrybend.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;

/**
 * Leases with expiry. The fencing number of a name grows with every grant and is not affected by a restore of the
 * key-value service.
 */
public final class LeaseTable {
    private final TimeSource time;
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Long> fencingNumbers = new HashMap<>();
    private long lastLeaseNumber;

    /**
     * A granted lease.
     *
     * @param leaseId secret of the holder
     * @param holder name of the holder
     * @param fencingNumber number that orders the holders of a name
     * @param ttlMs duration in milliseconds, counted again from each renewal
     * @param expiresMs expiry on the monotonic clock
     */
    public record Lease(String leaseId, String holder, long fencingNumber, long ttlMs, long expiresMs) {
        private Lease renewedAt(long nowMs) {
            return new Lease(leaseId, holder, fencingNumber, ttlMs, nowMs + ttlMs);
        }
    }

    /** Creates an empty table. */
    public LeaseTable(TimeSource time) {
        this.time = time;
    }

    /** Returns the unexpired lease of a name. */
    public synchronized Optional<Lease> current(String name) {
        return Optional.ofNullable(leases.get(name)).filter(lease -> lease.expiresMs() > time.monotonicMs());
    }

    /** Returns how long a lease still runs, in milliseconds. */
    public long remainingMs(Lease lease) {
        return Math.max(0, lease.expiresMs() - time.monotonicMs());
    }

    /** Grants a lease; empty if another lease of this name runs, even one of the same holder. */
    public synchronized Optional<Lease> acquire(String name, String holder, long ttlMs) {
        if (current(name).isPresent()) {
            return Optional.empty();
        }
        long fencingNumber = fencingNumbers.merge(name, 1L, Long::sum);
        String leaseId = "lease-" + ++lastLeaseNumber;
        Lease lease = new Lease(leaseId, holder, fencingNumber, ttlMs, time.monotonicMs() + ttlMs);
        leases.put(name, lease);
        return Optional.of(lease);
    }

    /** Renews a lease; empty if it has expired or has another identifier. */
    public synchronized Optional<Lease> renew(String name, String leaseId) {
        Optional<Lease> renewed = current(name)
                .filter(lease -> lease.leaseId().equals(leaseId))
                .map(lease -> lease.renewedAt(time.monotonicMs()));
        renewed.ifPresent(lease -> leases.put(name, lease));
        return renewed;
    }

    /** Ends a lease and returns whether it was running with this identifier. */
    public synchronized boolean release(String name, String leaseId) {
        boolean held =
                current(name).filter(lease -> lease.leaseId().equals(leaseId)).isPresent();
        if (held) {
            leases.remove(name);
        }
        return held;
    }
}
