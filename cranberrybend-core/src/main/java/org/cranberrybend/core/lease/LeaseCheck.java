package org.cranberrybend.core.lease;

/**
 * Proof that a lease was valid at some moment.
 *
 * @param fencingNumber fencing number of the lease
 * @param checkedAtMs monotonic clock of the check in milliseconds
 */
public record LeaseCheck(FencingNumber fencingNumber, long checkedAtMs) {}
