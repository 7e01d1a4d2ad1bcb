package org.cranberrybend.runtime.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The platform's key-value store. Writes and deletes are conditional on the revision of the key. */
public interface KeyValueStore {
    /** Reads a key; the revision of the result is 0 if the key does not exist. */
    VersionedValue get(String key) throws PlatformException;

    /**
     * Waits until the key's revision exceeds the given one.
     *
     * @param waitMs maximum wait in milliseconds
     * @return the new value, or empty if the wait ended without one
     */
    Optional<VersionedValue> watch(String key, long afterRevision, long waitMs) throws PlatformException;

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param expectedRevision revision at which the key was read; 0 if the key must not exist
     * @return the new revision, or empty if the key has another revision
     * @throws PlatformException if the write failed; if its outcome is unknown, read the key to find out
     */
    OptionalLong compareAndSwap(String key, long expectedRevision, byte[] value) throws PlatformException;

    /** Deletes a key if its revision is the expected one and returns whether it was deleted. */
    boolean compareAndDelete(String key, long expectedRevision) throws PlatformException;

    /** Returns the values of all keys with a prefix, in key order. */
    List<VersionedValue> list(String prefix) throws PlatformException;
}
