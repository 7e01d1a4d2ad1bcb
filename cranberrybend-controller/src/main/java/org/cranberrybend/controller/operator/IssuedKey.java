package org.cranberrybend.controller.operator;

/**
 * A newly issued API key, which is returned to the operator only once.
 *
 * @param keyId public identifier of the key
 * @param key the key itself; never stored or logged
 * @param revision configuration revision that contains the key
 */
public record IssuedKey(String keyId, String key, long revision) {
    @Override
    public String toString() {
        return "IssuedKey[keyId=" + keyId + "]";
    }
}
