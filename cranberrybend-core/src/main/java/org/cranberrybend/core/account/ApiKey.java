package org.cranberrybend.core.account;

/**
 * Stored form of an API key, which does not contain the key itself.
 *
 * @param keyId public identifier of the key, unique in the configuration
 * @param digestHex keyed hash (HMAC) of the whole key in hexadecimal, see {@link KeyHasher}
 * @param revoked whether the key was revoked; revoked keys are kept so that callers receive a specific error
 */
public record ApiKey(String keyId, String digestHex, boolean revoked) {
    public ApiKey {
        Checks.requireName("key_id", keyId);
        if (keyId.indexOf(KeyHasher.SEPARATOR) >= 0) {
            throw new IllegalArgumentException("key_id must not contain '" + KeyHasher.SEPARATOR + "': " + keyId);
        }
        if (digestHex == null || !digestHex.matches("[0-9a-f]{64}")) {
            throw new IllegalArgumentException("digest_hex must have 64 hexadecimal digits");
        }
    }

    /** Returns this key marked as revoked. */
    public ApiKey revoke() {
        return new ApiKey(keyId, digestHex, true);
    }
}
