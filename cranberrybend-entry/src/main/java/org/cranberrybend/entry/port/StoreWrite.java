package org.cranberrybend.entry.port;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A conditional write of several keys that is applied atomically.
 *
 * @param expectedRevisions required revision of each of these keys; 0 if the key must not exist
 * @param puts items to write
 * @param deletes keys to delete
 */
public record StoreWrite(Map<String, Long> expectedRevisions, List<Put> puts, List<String> deletes) {
    /** Limit of the store on the conditions, puts and deletes of one write together. */
    public static final int MAX_ENTRIES = 32;

    /**
     * An item to write.
     *
     * @param key key
     * @param value bytes to store
     * @param leaseId lease with which the item expires; 0 if none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Put(String key, byte[] value, long leaseId) {}

    public StoreWrite {
        expectedRevisions = Map.copyOf(expectedRevisions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
        if (expectedRevisions.size() + puts.size() + deletes.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException("a write has at most " + MAX_ENTRIES + " entries");
        }
    }

    /** Returns a write of one key without a condition. */
    public static StoreWrite put(String key, byte[] value) {
        return new StoreWrite(Map.of(), List.of(new Put(key, value, 0)), List.of());
    }

    /** Returns a write of one key that must have the given revision, 0 if it must not exist. */
    public static StoreWrite putIf(String key, long expectedRevision, byte[] value, long leaseId) {
        return new StoreWrite(Map.of(key, expectedRevision), List.of(new Put(key, value, leaseId)), List.of());
    }

    /** Returns a write that deletes keys without a condition. */
    public static StoreWrite delete(List<String> keys) {
        return new StoreWrite(Map.of(), List.of(), keys);
    }

    /** Returns this write with one more put without a condition. */
    public StoreWrite andPut(String key, byte[] value) {
        List<Put> more = new ArrayList<>(puts);
        more.add(new Put(key, value, 0));
        return new StoreWrite(new LinkedHashMap<>(expectedRevisions), more, deletes);
    }
}
