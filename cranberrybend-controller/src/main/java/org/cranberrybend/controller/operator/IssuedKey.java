package org.cranberrybend.controller.operator;

/**
 * A key as shown once to the operator.
 *
 * @param keyId public identifier
 * @param key text of the key; never stored or logged
 * @param revision configuration revision that contains it
 */
public record IssuedKey(String keyId, String key, long revision) {
    @Override
    public String toString() {
        return "IssuedKey[keyId=" + keyId + "]";
    }
}
