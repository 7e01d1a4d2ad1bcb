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
 * Seals windows strictly one after the other.
 *
 * <p>Late usage is what is known of an origin less what all sealed windows bill for it. Because a window is sealed only
 * after its predecessor was read, and sealing is create-only, two processes that seal at once cannot both carry the
 * same late usage, and no window has two figures.
 */
final class WindowSealer {
    // Covers usage that was written while the window was being sealed by a process with a different clock.
    private static final int WINDOWS_CHECKED_AGAIN = 3;
    private static final int OPEN_RETENTION_WINDOWS = 1_440;
    private static final int SEALED_RETENTION_WINDOWS = 35 * 1_440;

    private final UsageStore store;
    private final EventLog events;

    WindowSealer(UsageStore store, EventLog events) {
        this.store = store;
        this.events = events;
    }

    /** Seals a window whose predecessor is sealed; afterwards the window is sealed by this or another process. */
    void seal(UsageWindow window, UsageWindow first) throws PlatformException {
        // The marks are read before the records: a mark that is written later has another revision and stays.
        List<VersionedValue> marks = store.lateMarks().stream()
                .filter(each -> UsageKeys.lateWindow(each.key()).compareTo(window) < 0)
                .toList();
        TreeMap<UsageWindow, Map<UsageKey, UsageTotals>> late = new TreeMap<>();
        for (int distance = 1; distance <= WINDOWS_CHECKED_AGAIN; distance++) {
            addLate(window.minusWindows(distance), window, first, late);
        }
        for (VersionedValue mark : marks) {
            addLate(UsageKeys.lateWindow(mark.key()), window, first, late);
        }
        SealedWindow result = SealedWindow.of(window, store.knownTotals(window), ImmutableSortedMap.copyOf(late));
        if (store.seal(result)) {
            record(result);
            for (VersionedValue mark : marks) {
                store.deleteMark(mark);
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
        late.put(origin, SealedWindow.unbilled(store.knownTotals(origin), billed(origin, window, first)));
    }

    /** Returns what the windows before the given one bill for an origin. */
    private Map<UsageKey, UsageTotals> billed(UsageWindow origin, UsageWindow window, UsageWindow first)
            throws PlatformException {
        Map<UsageKey, UsageTotals> billed = new HashMap<>();
        UsageWindow each = origin.compareTo(first) < 0 ? first : origin;
        while (each.compareTo(window) < 0) {
            Optional<SealedWindow> earlier = store.sealedWindow(each);
            if (earlier.isEmpty()) {
                // Without it, late usage that it carries would be billed again.
                throw new PlatformException(
                        UsageKeys.sealed(each) + " does not exist any more", CallOutcome.NOT_ACCEPTED);
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
