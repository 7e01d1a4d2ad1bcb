package org.cranberrybend.runtime.platform;

import java.util.Optional;

/** The platform's leases. */
public interface LeaseService {
    /**
     * Requests a lease.
     *
     * @return the grant, or empty if another holder has the lease
     */
    Optional<LeaseGrant> acquire(String name, String holder, long ttlMs) throws PlatformException;

    /** Renews a lease for another TTL and returns false if the lease no longer exists. */
    boolean renew(String name, String leaseId) throws PlatformException;

    /** Releases a lease before it expires. */
    void release(String name, String leaseId) throws PlatformException;
}
