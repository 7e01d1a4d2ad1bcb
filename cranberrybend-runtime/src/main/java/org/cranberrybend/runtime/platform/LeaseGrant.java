package org.cranberrybend.runtime.platform;

/**
 * A lease given to a holder.
 *
 * @param leaseId identifier used to renew and release it
 * @param fencingNumber number that grows with each grant of the same name
 * @param ttlMs duration in milliseconds
 */
public record LeaseGrant(String leaseId, long fencingNumber, long ttlMs) {}
