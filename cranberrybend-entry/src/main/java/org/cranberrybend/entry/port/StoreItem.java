package org.cranberrybend.entry.port;

/**
 * An item of the key-value store.
 *
 * @param key key
 * @param value stored bytes
 * @param revision revision of the last change
 * @param createdRevision revision at which the key was created
 * @param leaseId lease with which the item expires; 0 if none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long createdRevision, long leaseId) {}
