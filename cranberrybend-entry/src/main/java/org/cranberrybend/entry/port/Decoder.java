package org.cranberrybend.entry.port;

import org.cranberrybend.entry.json.JsonFormatException;

/**
 * Decodes a value of the store.
 *
 * @param <T> type of the decoded value
 */
public interface Decoder<T> {
    /**
     * Decodes a value.
     *
     * @param name last part of the key
     * @throws JsonFormatException if the value cannot be used; the message names the field
     */
    T decode(String name, byte[] value) throws JsonFormatException;
}
