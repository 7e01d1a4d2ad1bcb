package org.cranberrybend.runtime.platform;

/**
 * A value in the key-value store.
 *
 * @param key key
 * @param revision revision of the key's last write; 0 if the key does not exist
 * @param value bytes; empty if the key does not exist
 */
public record VersionedValue(String key, long revision, byte[] value) {
    /** Returns whether the key exists. */
    public boolean exists() {
        return revision != 0;
    }
}
