package org.cranberrybend.controller.operator;

/**
 * Result of the revocation of an API key.
 *
 * @param keyId public identifier of the key
 * @param pending whether the key is only in the revocation set and will be revoked in the configuration later
 * @param revision configuration revision that contains the revocation, or the accepted revision if it is pending
 */
public record Revocation(String keyId, boolean pending, long revision) {}
