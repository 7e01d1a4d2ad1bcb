package org.cranberrybend.controller.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Key-value service in memory with faults: outage, lost responses, older data and calls of others in between.
 *
 * <p>Revisions count per key and go back together with the data, which is the worst case that the interface allows.
 */
public final class FaultyKeyValueStore implements KeyValueStore {
    private final TreeMap<String, VersionedValue> values = new TreeMap<>();
    private final Map<String, Long> lastRevisions = new HashMap<>();
    private final Deque<StoreFault> faults = new ArrayDeque<>();
    private final TreeMap<Integer, Runnable> interruptions = new TreeMap<>();
    private TreeMap<String, VersionedValue> snapshot = new TreeMap<>();
    private boolean down;
    private int calls;

    /** Lets the next calls fail, one fault per call. */
    public void failNext(List<StoreFault> next) {
        faults.addAll(next);
    }

    /** Runs an action before the call that is {@code callsAhead} calls away; 0 is the next one. */
    public void interrupt(int callsAhead, Runnable action) {
        interruptions.put(calls + callsAhead, action);
    }

    /** Starts or ends an outage. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Ends all faults. */
    public void heal() {
        down = false;
        faults.clear();
        interruptions.clear();
    }

    /** Remembers all data. */
    public void takeSnapshot() {
        snapshot = new TreeMap<>(values);
    }

    /** Goes back to the data of the snapshot. */
    public void restoreSnapshot() {
        values.clear();
        values.putAll(snapshot);
        lastRevisions.clear();
        values.forEach((key, value) -> lastRevisions.put(key, value.revision()));
    }

    /** Returns the keys with a prefix, past all faults. */
    public List<String> keys(String prefix) {
        return values.keySet().stream().filter(each -> each.startsWith(prefix)).toList();
    }

    /** Returns a value, past all faults. */
    public VersionedValue read(String key) {
        return values.getOrDefault(key, new VersionedValue(key, 0, new byte[0]));
    }

    private StoreFault before(String call) throws PlatformException {
        Runnable action = interruptions.remove(calls++);
        if (action != null) {
            action.run();
        }
        StoreFault fault = faults.isEmpty() ? StoreFault.NONE : faults.removeFirst();
        if (down || fault == StoreFault.NOT_REACHED) {
            throw new PlatformException(call + ": no response", CallOutcome.UNKNOWN);
        }
        if (fault == StoreFault.REFUSED) {
            throw new PlatformException(call + ": over the rate", CallOutcome.NOT_ACCEPTED);
        }
        return fault;
    }

    private static void after(StoreFault fault, String call) throws PlatformException {
        if (fault == StoreFault.LOST_RESPONSE) {
            throw new PlatformException(call + ": response lost", CallOutcome.UNKNOWN);
        }
    }

    @Override
    public VersionedValue get(String key) throws PlatformException {
        after(before("get"), "get");
        return read(key);
    }

    @Override
    public Optional<VersionedValue> watch(String key, long afterRevision, long waitMs) throws PlatformException {
        after(before("watch"), "watch");
        return Optional.of(read(key)).filter(each -> each.revision() > afterRevision);
    }

    @Override
    public OptionalLong compareAndSwap(String key, long expectedRevision, byte[] value) throws PlatformException {
        StoreFault fault = before("put");
        OptionalLong result = OptionalLong.empty();
        if (read(key).revision() == expectedRevision) {
            long revision = lastRevisions.merge(key, 1L, Long::sum);
            values.put(key, new VersionedValue(key, revision, value.clone()));
            result = OptionalLong.of(revision);
        }
        after(fault, "put");
        return result;
    }

    @Override
    public boolean compareAndDelete(String key, long expectedRevision) throws PlatformException {
        StoreFault fault = before("delete");
        boolean matches = values.containsKey(key) && values.get(key).revision() == expectedRevision;
        if (matches) {
            values.remove(key);
        }
        after(fault, "delete");
        return matches;
    }

    @Override
    public List<VersionedValue> list(String prefix) throws PlatformException {
        after(before("list"), "list");
        return new ArrayList<>(values.entrySet().stream()
                .filter(each -> each.getKey().startsWith(prefix))
                .map(Map.Entry::getValue)
                .toList());
    }
}
