package org.cranberrybend.controller.operator;

/**
 * Result of a revocation.
 *
 * @param keyId public identifier of the key
 * @param pending whether the key is in the revocation set and will be written to the configuration later
 * @param revision configuration revision that contains the revocation, or the accepted one while it is pending
 */
public record Revocation(String keyId, boolean pending, long revision) {}
