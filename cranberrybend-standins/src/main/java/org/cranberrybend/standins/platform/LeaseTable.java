package org.cranberrybend.standins.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;

/**
 * Leases that expire. The fencing number of a name increases with every grant and is not reset when the key-value store
 * is restored from a snapshot.
 */
public final class LeaseTable {
    private final TimeSource time;
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Long> fencingNumbers = new HashMap<>();
    private long lastLeaseNumber;

    /**
     * A granted lease.
     *
     * @param leaseId identifier that only the lease holder knows, required to renew or release the lease
     * @param holder name of the lease holder
     * @param fencingNumber number that increases with each lease holder of a name
     * @param ttlMs time to live in milliseconds, restarted by each renewal
     * @param expiresMs expiry time on the monotonic clock, in milliseconds
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

    /** Returns the time until a lease expires, in milliseconds; 0 if it has expired. */
    public long remainingMs(Lease lease) {
        return Math.max(0, lease.expiresMs() - time.monotonicMs());
    }

    /** Grants a lease; empty if the name has an unexpired lease, even one of the same lease holder. */
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

    /** Renews a lease; empty if it has expired or the identifier does not match. */
    public synchronized Optional<Lease> renew(String name, String leaseId) {
        Optional<Lease> renewed = current(name)
                .filter(lease -> lease.leaseId().equals(leaseId))
                .map(lease -> lease.renewedAt(time.monotonicMs()));
        renewed.ifPresent(lease -> leases.put(name, lease));
        return renewed;
    }

    /** Releases a lease; returns false if it has expired or the identifier does not match. */
    public synchronized boolean release(String name, String leaseId) {
        boolean held =
                current(name).filter(lease -> lease.leaseId().equals(leaseId)).isPresent();
        if (held) {
            leases.remove(name);
        }
        return held;
    }
}
