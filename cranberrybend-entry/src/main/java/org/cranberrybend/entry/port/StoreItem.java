package org.cranberrybend.entry.port;

/**
 * An item of the key-value store.
 *
 * @param key key
 * @param value stored bytes
 * @param revision revision of the last change
 * @param createdRevision revision at which the key was created; {@link #UNKNOWN_REVISION} if it is not known
 * @param leaseId number of the lease with which the item expires, within the epoch of the revision; 0 if none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long createdRevision, long leaseId) {
    /** Revision of a creation that is not known; no item of the store has it. */
    public static final long UNKNOWN_REVISION = 0;
}
