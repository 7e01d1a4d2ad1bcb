package org.cranberrybend.controller.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * In-memory key-value store with fault injection: outages, lost responses, rollbacks, and calls of other processes
 * during a call.
 *
 * <p>Revisions are counted per key and are rolled back together with the data, which is the worst case that the
 * interface allows.
 */
public final class FaultyKeyValueStore implements KeyValueStore {
    private final TreeMap<String, VersionedValue> values = new TreeMap<>();
    private final Map<String, Long> lastRevisions = new HashMap<>();
    private final CallFaults faults = new CallFaults();
    private TreeMap<String, VersionedValue> snapshot = new TreeMap<>();

    /** Returns the fault injection of this fake. */
    public CallFaults faults() {
        return faults;
    }

    /** Takes a snapshot of all data. */
    public void takeSnapshot() {
        snapshot = new TreeMap<>(values);
    }

    /** Rolls back to the data of the snapshot. */
    public void restoreSnapshot() {
        values.clear();
        values.putAll(snapshot);
        lastRevisions.clear();
        values.forEach((key, value) -> lastRevisions.put(key, value.revision()));
    }

    /** Returns the keys with a prefix, without fault injection. */
    public List<String> keys(String prefix) {
        return values.keySet().stream().filter(each -> each.startsWith(prefix)).toList();
    }

    /** Writes a value, without fault injection. */
    public void write(String key, byte[] value) {
        long revision = lastRevisions.merge(key, 1L, Long::sum);
        values.put(key, new VersionedValue(key, revision, value.clone()));
    }

    /** Returns a value, without fault injection. */
    public VersionedValue read(String key) {
        return values.getOrDefault(key, new VersionedValue(key, 0, new byte[0]));
    }

    @Override
    public VersionedValue get(String key) throws PlatformException {
        faults.before("get").respond();
        return read(key);
    }

    @Override
    public Optional<VersionedValue> watch(String key, long afterRevision, long waitMs) throws PlatformException {
        faults.before("watch").respond();
        return Optional.of(read(key)).filter(each -> each.revision() > afterRevision);
    }

    @Override
    public OptionalLong compareAndSwap(String key, long expectedRevision, byte[] value) throws PlatformException {
        CallFaults.Call call = faults.before("put");
        OptionalLong result = OptionalLong.empty();
        if (read(key).revision() == expectedRevision) {
            write(key, value);
            result = OptionalLong.of(read(key).revision());
        }
        call.respond();
        return result;
    }

    @Override
    public boolean compareAndDelete(String key, long expectedRevision) throws PlatformException {
        CallFaults.Call call = faults.before("delete");
        boolean matches = values.containsKey(key) && values.get(key).revision() == expectedRevision;
        if (matches) {
            values.remove(key);
        }
        call.respond();
        return matches;
    }

    @Override
    public List<VersionedValue> list(String prefix) throws PlatformException {
        faults.before("list").respond();
        return new ArrayList<>(values.entrySet().stream()
                .filter(each -> each.getKey().startsWith(prefix))
                .map(Map.Entry::getValue)
                .toList());
    }
}
