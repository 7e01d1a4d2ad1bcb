package org.cranberrybend.core.lease;

/**
 * Result of a check that found a lease valid.
 *
 * @param fencingNumber fencing number of the lease
 * @param checkedAtMs time of the check on the monotonic clock, in milliseconds
 */
public record LeaseCheck(FencingNumber fencingNumber, long checkedAtMs) {}
