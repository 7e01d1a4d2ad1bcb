package org.cranberrybend.runtime.platform;

import java.util.Optional;

/** The platform's leases. */
public interface LeaseService {
    /**
     * Asks for a lease.
     *
     * @return the grant, or empty if another holder has it
     */
    Optional<LeaseGrant> acquire(String name, String holder, long ttlMs) throws PlatformException;

    /** Renews a lease for its duration and returns false if it no longer exists. */
    boolean renew(String name, String leaseId) throws PlatformException;

    /** Gives a lease back before it expires. */
    void release(String name, String leaseId) throws PlatformException;
}
