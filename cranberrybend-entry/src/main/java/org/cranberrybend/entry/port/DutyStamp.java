package org.cranberrybend.entry.port;

/**
 * Who makes a call that only one instance may make at a time.
 *
 * @param holder name of the instance
 * @param fencingNumber number that grows with each change of the holder
 */
public record DutyStamp(String holder, long fencingNumber) {}
