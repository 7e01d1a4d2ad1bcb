package org.cranberrybend.runtime.platform;

/**
 * A lease granted to a holder.
 *
 * @param leaseId identifier used to renew and release it
 * @param fencingNumber number that increases with each grant of a lease of the same name
 * @param ttlMs time to live in milliseconds
 */
public record LeaseGrant(String leaseId, long fencingNumber, long ttlMs) {}
