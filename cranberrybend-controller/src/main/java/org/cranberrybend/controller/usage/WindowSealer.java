package org.cranberrybend.controller.usage;

import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.usage.SealedWindow;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/**
 * Seals windows strictly in sequence.
 *
 * <p>The late usage of an earlier window, its origin, is the usage recorded for it minus what the sealed windows
 * already bill for it. A window is sealed by a create-only write, and only after its predecessor and all sealed windows
 * since the origins have been read. Two processes that seal concurrently therefore cannot both carry over the same late
 * usage, and a window never has two different contents.
 */
final class WindowSealer {
    // Covers usage that is written while a process with a different clock seals the window.
    private static final int RECHECKED_WINDOWS = 3;
    private static final int OPEN_RETENTION_WINDOWS = 1_440;
    private static final int SEALED_RETENTION_WINDOWS = 35 * 1_440;

    private final UsageStore store;
    private final EventLog events;

    WindowSealer(UsageStore store, EventLog events) {
        this.store = store;
        this.events = events;
    }

    /** Seals a window whose predecessor is sealed. On return, this or another process has sealed the window. */
    void seal(UsageWindow window, UsageWindow first) throws PlatformException {
        // The markers are read before the records. A marker that is written later
        // has a new revision and is not deleted.
        List<VersionedValue> markers = store.lateMarkers().stream()
                .filter(each -> UsageStoreKeys.lateWindow(each.key()).compareTo(window) < 0)
                .toList();
        TreeMap<UsageWindow, Map<UsageKey, UsageTotals>> late = new TreeMap<>();
        for (int distance = 1; distance <= RECHECKED_WINDOWS; distance++) {
            addLate(window.minusWindows(distance), window, first, late);
        }
        for (VersionedValue marker : markers) {
            addLate(UsageStoreKeys.lateWindow(marker.key()), window, first, late);
        }
        SealedWindow result = SealedWindow.of(window, store.recordedTotals(window), ImmutableSortedMap.copyOf(late));
        if (store.seal(result)) {
            record(result);
            for (VersionedValue marker : markers) {
                store.deleteMarker(marker);
            }
        }
        store.deleteOpen(window.minusWindows(OPEN_RETENTION_WINDOWS));
        store.deleteSealed(window.minusWindows(SEALED_RETENTION_WINDOWS));
    }

    private void addLate(
            UsageWindow origin,
            UsageWindow window,
            UsageWindow first,
            Map<UsageWindow, Map<UsageKey, UsageTotals>> late)
            throws PlatformException {
        boolean tooOld =
                origin.compareTo(window.minusWindows(SEALED_RETENTION_WINDOWS)) <= 0 && origin.compareTo(first) >= 0;
        if (tooOld || origin.compareTo(window) >= 0 || late.containsKey(origin)) {
            return;
        }
        late.put(origin, SealedWindow.unbilled(store.recordedTotals(origin), billedBefore(origin, window, first)));
    }

    /** Returns the usage of an origin that the windows before the given one bill. */
    private Map<UsageKey, UsageTotals> billedBefore(UsageWindow origin, UsageWindow window, UsageWindow first)
            throws PlatformException {
        Map<UsageKey, UsageTotals> billed = new HashMap<>();
        UsageWindow each = origin.compareTo(first) < 0 ? first : origin;
        while (each.compareTo(window) < 0) {
            Optional<SealedWindow> earlier = store.sealedWindow(each);
            if (earlier.isEmpty()) {
                // Late usage that the missing window carries over would be billed again.
                throw new PlatformException(
                        UsageStoreKeys.sealed(each) + " no longer exists", CallOutcome.NOT_ACCEPTED);
            }
            earlier.get().billedFor(origin).forEach((key, totals) -> billed.merge(key, totals, UsageTotals::plus));
            each = each.next();
        }
        return billed;
    }

    private void record(SealedWindow window) {
        events.record(
                EventCode.USAGE_WINDOW_SEALED,
                "window " + window.windowStartMs(),
                Map.of("entries", window.entries().size()));
        for (SealedWindow.Late each : window.late()) {
            events.record(
                    EventCode.USAGE_LATE,
                    "window " + each.originWindowStartMs(),
                    Map.of(
                            "carried_to",
                            window.windowStartMs(),
                            "entries",
                            each.entries().size()));
        }
    }
}
