package org.cranberrybend.entry.port;

/**
 * Identifies the lease holder in a call that only one instance may make at a time.
 *
 * @param holder name of the instance
 * @param fencingNumber number that grows with each change of the lease holder
 */
public record DutyGrant(String holder, long fencingNumber) {}
