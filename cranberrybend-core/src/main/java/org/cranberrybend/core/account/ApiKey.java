package org.cranberrybend.core.account;

/**
 * A caller's key as it is stored: never the key itself.
 *
 * @param keyId public part of the key, unique in the configuration
 * @param digestHex keyed hash of the whole key, see {@link KeyHasher}
 * @param revoked whether the key was revoked; revoked keys are kept so that callers get a precise error
 */
public record ApiKey(String keyId, String digestHex, boolean revoked) {
    public ApiKey {
        Checks.name("key_id", keyId);
        if (keyId.indexOf(KeyHasher.SEPARATOR) >= 0) {
            throw new IllegalArgumentException("key_id must not contain '" + KeyHasher.SEPARATOR + "': " + keyId);
        }
        if (digestHex == null || !digestHex.matches("[0-9a-f]{64}")) {
            throw new IllegalArgumentException("digest_hex must have 64 hexadecimal digits");
        }
    }

    /** Returns the revoked form of this key. */
    public ApiKey revoke() {
        return new ApiKey(keyId, digestHex, true);
    }
}
