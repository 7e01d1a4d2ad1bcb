package org.cranberrybend.runtime.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The platform's key-value service: reads, watches and compare-and-swap. */
public interface KeyValueStore {
    /** Reads a key; the revision of the result is 0 if the key does not exist. */
    VersionedValue get(String key) throws PlatformException;

    /**
     * Waits until the key's revision exceeds the given one.
     *
     * @param waitMs longest wait in milliseconds
     * @return the new value, or empty after the wait
     */
    Optional<VersionedValue> watch(String key, long afterRevision, long waitMs) throws PlatformException;

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param expectedRevision revision seen by the caller; 0 if the key must not exist
     * @return the new revision, or empty if the key has another revision
     * @throws PlatformException if the write failed; if its outcome is unknown, read the key to resolve it
     */
    OptionalLong compareAndSwap(String key, long expectedRevision, byte[] value) throws PlatformException;

    /** Deletes a key if its revision is the expected one and returns whether it was deleted. */
    boolean compareAndDelete(String key, long expectedRevision) throws PlatformException;

    /** Lists the keys with a prefix, in key order. */
    List<VersionedValue> list(String prefix) throws PlatformException;
}
