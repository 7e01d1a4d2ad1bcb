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

/** Stores open windows, sealed windows and the progress in the key-value store. Confined to one thread. */
final class UsageStore {
    private static final int MAX_CACHED_WINDOWS = 1_440;
    private static final int MAX_ATTEMPTS = 4;

    private final KeyValueStore store;
    /** Cached bytes of sealed windows, which are immutable. */
    private final Map<UsageWindow, byte[]> sealed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UsageWindow, byte[]> eldest) {
            return size() > MAX_CACHED_WINDOWS;
        }
    };

    UsageStore(KeyValueStore store) {
        this.store = store;
    }

    /** Returns the merged usage that all controllers have recorded for a window. */
    Map<UsageKey, UsageTotals> recordedTotals(UsageWindow window) throws PlatformException {
        UsageLedger ledger = UsageLedger.EMPTY;
        for (VersionedValue each : store.list(UsageStoreKeys.openPrefix(window))) {
            try {
                ledger = ledger.merge(UsageStoreKeys.readLedger(each.value()));
            } catch (IllegalArgumentException e) {
                throw new PlatformException(each.key() + ": " + e.getMessage(), e);
            }
        }
        return ledger.totals();
    }

    void deleteOpen(UsageWindow window) throws PlatformException {
        for (VersionedValue each : store.list(UsageStoreKeys.openPrefix(window))) {
            store.compareAndDelete(each.key(), each.revision());
        }
    }

    List<VersionedValue> lateMarkers() throws PlatformException {
        return store.list(UsageStoreKeys.LATE_PREFIX);
    }

    void deleteMarker(VersionedValue marker) throws PlatformException {
        store.compareAndDelete(marker.key(), marker.revision());
    }

    /** Returns the bytes of a sealed window, or empty if the window is not sealed. */
    Optional<byte[]> sealedBytes(UsageWindow window) throws PlatformException {
        byte[] cached = sealed.get(window);
        if (cached != null) {
            return Optional.of(cached);
        }
        VersionedValue value = store.get(UsageStoreKeys.sealed(window));
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
            throw new PlatformException(UsageStoreKeys.sealed(window) + ": " + e.getMessage(), e);
        }
    }

    /**
     * Seals a window if it is not sealed yet.
     *
     * @return whether the stored bytes equal those of the given window
     * @throws PlatformException if it is unknown whether the window is sealed
     */
    boolean seal(SealedWindow window) throws PlatformException {
        byte[] bytes = window.toBytes();
        try {
            if (store.compareAndSwap(UsageStoreKeys.sealed(window.window()), 0, bytes)
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
                .orElseThrow(() -> new PlatformException("the usage window was not sealed", CallOutcome.UNKNOWN));
        return Arrays.equals(stored, bytes);
    }

    /** Writes the cached sealed windows in a range that the key-value store has lost. */
    void restoreSealed(UsageWindow from, UsageWindow until) throws PlatformException {
        for (Map.Entry<UsageWindow, byte[]> each : sealed.entrySet()) {
            if (each.getKey().compareTo(from) >= 0 && each.getKey().compareTo(until) < 0) {
                store.compareAndSwap(UsageStoreKeys.sealed(each.getKey()), 0, each.getValue());
            }
        }
    }

    void deleteSealed(UsageWindow window) throws PlatformException {
        VersionedValue value = store.get(UsageStoreKeys.sealed(window));
        if (value.exists()) {
            store.compareAndDelete(value.key(), value.revision());
        }
    }

    Optional<UsageProgress> progress() throws PlatformException {
        VersionedValue value = store.get(UsageStoreKeys.PROGRESS);
        return value.exists() ? Optional.of(readProgress(value)) : Optional.empty();
    }

    /** Returns the stored progress, after creating it if it does not exist. */
    UsageProgress progressOrCreate(UsageProgress initial) throws PlatformException {
        Optional<UsageProgress> present = progress();
        if (present.isPresent()) {
            return present.get();
        }
        store.compareAndSwap(UsageStoreKeys.PROGRESS, 0, write(initial));
        return progress()
                .orElseThrow(() -> new PlatformException("usage progress was not stored", CallOutcome.UNKNOWN));
    }

    /** Advances the stored progress to at least the given one. */
    void advanceProgress(UsageProgress progress) throws PlatformException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            VersionedValue value = store.get(UsageStoreKeys.PROGRESS);
            UsageProgress stored = value.exists() ? readProgress(value) : progress;
            UsageProgress next = stored.merge(progress);
            if (value.exists() && next.equals(stored)) {
                return;
            }
            if (store.compareAndSwap(UsageStoreKeys.PROGRESS, value.revision(), write(next))
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
            throw new PlatformException(value.key() + " cannot be parsed", e);
        }
    }
}
