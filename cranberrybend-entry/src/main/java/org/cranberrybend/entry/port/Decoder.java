package org.cranberrybend.entry.port;

import org.cranberrybend.entry.json.JsonFormatException;

/**
 * Decodes values of the key-value store.
 *
 * @param <T> type of the decoded value
 */
public interface Decoder<T> {
    /**
     * Decodes a value.
     *
     * @param name last part of the key
     * @throws JsonFormatException if the value is invalid; the message names the field
     */
    T decode(String name, byte[] value) throws JsonFormatException;
}
