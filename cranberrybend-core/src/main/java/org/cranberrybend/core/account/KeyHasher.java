package org.cranberrybend.core.account;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Keyed hash (HMAC) of API keys. With only a copy of the configuration, keys can neither be recovered nor guesses be
 * verified.
 */
public final class KeyHasher {
    private static final int MIN_SECRET_BYTES = 16;
    /** Separates the prefix, the key identifier and the secret in the text of a key. */
    static final char SEPARATOR = '_';

    private static final String PREFIX = "cbk" + SEPARATOR;

    private final HashFunction hmac;

    /** Creates a hasher with the deployment's secret, at least 16 bytes long. */
    public KeyHasher(String secret) {
        byte[] secretBytes = secret.getBytes(StandardCharsets.UTF_8);
        if (secretBytes.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException("key_hash_secret must have at least " + MIN_SECRET_BYTES + " bytes");
        }
        this.hmac = Hashing.hmacSha256(secretBytes);
    }

    /** Returns the text of a key, {@code cbk_{keyId}_{secret}}. */
    public static String keyText(String keyId, String secret) {
        return PREFIX + keyId + SEPARATOR + secret;
    }

    /** Returns the key identifier in the text of a key, or empty if the text does not have the form of a key. */
    public static Optional<String> keyId(String keyText) {
        if (!keyText.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int end = keyText.indexOf(SEPARATOR, PREFIX.length());
        return end <= PREFIX.length() ? Optional.empty() : Optional.of(keyText.substring(PREFIX.length(), end));
    }

    /** Returns the keyed hash of the text of a key in hexadecimal. */
    public String digestHex(String keyText) {
        return hmac.hashString(keyText, StandardCharsets.UTF_8).toString();
    }

    /** Returns whether the text of a key matches a stored key, in constant time. */
    public boolean matches(ApiKey key, String keyText) {
        byte[] expected = key.digestHex().getBytes(StandardCharsets.US_ASCII);
        byte[] actual = digestHex(keyText).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, actual);
    }
}
