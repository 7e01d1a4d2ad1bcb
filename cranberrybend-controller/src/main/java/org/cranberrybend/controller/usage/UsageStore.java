package org.cranberrybend.controller.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.usage.SealedWindow;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/** Open and sealed windows and the progress in the key-value service. Used by one thread. */
final class UsageStore {
    private static final int CACHED_WINDOWS = 1_440;
    private static final int ATTEMPTS = 4;

    private final KeyValueStore store;
    /** Bytes of sealed windows, which never change. */
    private final Map<UsageWindow, byte[]> sealed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UsageWindow, byte[]> eldest) {
            return size() > CACHED_WINDOWS;
        }
    };

    UsageStore(KeyValueStore store) {
        this.store = store;
    }

    /** Returns what all controllers wrote about a window. */
    Map<UsageKey, UsageTotals> knownTotals(UsageWindow window) throws PlatformException {
        UsageLedger ledger = UsageLedger.EMPTY;
        for (VersionedValue each : store.list(UsageKeys.openPrefix(window))) {
            try {
                ledger = ledger.merge(UsageKeys.readLedger(each.value()));
            } catch (IllegalArgumentException e) {
                throw new PlatformException(each.key() + ": " + e.getMessage(), e);
            }
        }
        return ledger.totals();
    }

    void deleteOpen(UsageWindow window) throws PlatformException {
        for (VersionedValue each : store.list(UsageKeys.openPrefix(window))) {
            store.compareAndDelete(each.key(), each.revision());
        }
    }

    List<VersionedValue> lateMarks() throws PlatformException {
        return store.list(UsageKeys.LATE_PREFIX);
    }

    void deleteMark(VersionedValue mark) throws PlatformException {
        store.compareAndDelete(mark.key(), mark.revision());
    }

    /** Returns the bytes of a sealed window. */
    Optional<byte[]> sealedBytes(UsageWindow window) throws PlatformException {
        byte[] cached = sealed.get(window);
        if (cached != null) {
            return Optional.of(cached);
        }
        VersionedValue value = store.get(UsageKeys.sealed(window));
        if (!value.exists()) {
            return Optional.empty();
        }
        sealed.put(window, value.value());
        return Optional.of(value.value());
    }

    Optional<SealedWindow> sealedWindow(UsageWindow window) throws PlatformException {
        Optional<byte[]> bytes = sealedBytes(window);
        try {
            return bytes.map(SealedWindow::fromBytes);
        } catch (IllegalArgumentException e) {
            throw new PlatformException(UsageKeys.sealed(window) + ": " + e.getMessage(), e);
        }
    }

    /**
     * Seals a window unless it is sealed.
     *
     * @return whether the stored bytes are the given ones
     * @throws PlatformException if it is not known whether the window is sealed
     */
    boolean seal(SealedWindow window) throws PlatformException {
        byte[] bytes = window.toBytes();
        try {
            if (store.compareAndSwap(UsageKeys.sealed(window.window()), 0, bytes)
                    .isPresent()) {
                sealed.put(window.window(), bytes);
                return true;
            }
        } catch (PlatformException e) {
            if (e.outcome() == CallOutcome.NOT_ACCEPTED) {
                throw e;
            }
        }
        byte[] stored = sealedBytes(window.window())
                .orElseThrow(() -> new PlatformException("sealing was not carried out", CallOutcome.UNKNOWN));
        return Arrays.equals(stored, bytes);
    }

    /** Writes sealed windows back that this process knows and the service has lost. */
    void restoreSealed(UsageWindow from, UsageWindow until) throws PlatformException {
        for (Map.Entry<UsageWindow, byte[]> each : sealed.entrySet()) {
            if (each.getKey().compareTo(from) >= 0 && each.getKey().compareTo(until) < 0) {
                store.compareAndSwap(UsageKeys.sealed(each.getKey()), 0, each.getValue());
            }
        }
    }

    void deleteSealed(UsageWindow window) throws PlatformException {
        VersionedValue value = store.get(UsageKeys.sealed(window));
        if (value.exists()) {
            store.compareAndDelete(value.key(), value.revision());
        }
    }

    Optional<UsageProgress> progress() throws PlatformException {
        VersionedValue value = store.get(UsageKeys.PROGRESS);
        return value.exists() ? Optional.of(readProgress(value)) : Optional.empty();
    }

    /** Creates the progress unless another process did, and returns what is stored. */
    UsageProgress progressOr(UsageProgress initial) throws PlatformException {
        Optional<UsageProgress> present = progress();
        if (present.isPresent()) {
            return present.get();
        }
        store.compareAndSwap(UsageKeys.PROGRESS, 0, write(initial));
        return progress().orElseThrow(() -> new PlatformException("progress was not stored", CallOutcome.UNKNOWN));
    }

    /** Moves the stored progress forward to at least the given one. */
    void advance(UsageProgress progress) throws PlatformException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            VersionedValue value = store.get(UsageKeys.PROGRESS);
            UsageProgress stored = value.exists() ? readProgress(value) : progress;
            UsageProgress next = stored.merge(progress);
            if (value.exists() && next.equals(stored)) {
                return;
            }
            if (store.compareAndSwap(UsageKeys.PROGRESS, value.revision(), write(next))
                    .isPresent()) {
                return;
            }
        }
    }

    private static byte[] write(UsageProgress progress) {
        return CanonicalJson.write(progress).getBytes(StandardCharsets.UTF_8);
    }

    private static UsageProgress readProgress(VersionedValue value) throws PlatformException {
        try {
            return CanonicalJson.mapper()
                    .readValue(new String(value.value(), StandardCharsets.UTF_8), UsageProgress.class);
        } catch (JsonProcessingException e) {
            throw new PlatformException(value.key() + " is not readable", e);
        }
    }
}
