package org.cranberrybend.entry.port;

/**
 * An item of the key-value store.
 *
 * @param key key
 * @param value bytes stored
 * @param revision revision of the last change
 * @param createdRevision revision at which the key was created
 * @param leaseId lease that the item ends with; 0 if none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long createdRevision, long leaseId) {}
