package org.cranberrybend.core.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableSortedMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * Figures of a window that never change again; its canonical bytes are stored and reported.
 *
 * @param windowStartMs start of the window in milliseconds since the epoch
 * @param windowEndMs first moment after the window
 * @param entries usage of requests that ended in the window, in the order of their keys
 * @param late usage of earlier windows that arrived after those were sealed, by origin
 */
public record SealedWindow(long windowStartMs, long windowEndMs, List<Entry> entries, List<Late> late) {
    /**
     * Usage of one client account, request class and service.
     *
     * @param clientAccount name of the client account
     * @param className name of the request class
     * @param service name of the model or plain service
     * @param requests requests that ended
     * @param promptTokens prompt tokens
     * @param outputTokens output tokens delivered
     */
    public record Entry(
            String clientAccount,
            String className,
            String service,
            long requests,
            long promptTokens,
            long outputTokens) {}

    /**
     * Late usage.
     *
     * @param originWindowStartMs start of the window in which the requests ended
     * @param entries usage that the origin and all windows sealed since do not contain
     */
    public record Late(long originWindowStartMs, List<Entry> entries) {
        public Late {
            entries = List.copyOf(entries);
        }
    }

    public SealedWindow {
        entries = List.copyOf(entries);
        late = List.copyOf(late);
    }

    /** Seals a window; {@code late} has usage by origin, and origins without usage are left out. */
    public static SealedWindow of(
            UsageWindow window,
            Map<UsageKey, UsageTotals> totals,
            ImmutableSortedMap<UsageWindow, Map<UsageKey, UsageTotals>> late) {
        List<Late> carried = new ArrayList<>();
        late.forEach((origin, usage) -> {
            if (!usage.isEmpty()) {
                carried.add(new Late(origin.startMs(), entries(usage)));
            }
        });
        return new SealedWindow(window.startMs(), window.endMs(), entries(totals), carried);
    }

    private static List<Entry> entries(Map<UsageKey, UsageTotals> usage) {
        List<Entry> entries = new ArrayList<>();
        ImmutableSortedMap.copyOf(usage, UsageLedger.KEY_ORDER)
                .forEach((key, totals) -> entries.add(new Entry(
                        key.clientAccount(),
                        key.className(),
                        key.service(),
                        totals.requests(),
                        totals.promptTokens(),
                        totals.outputTokens())));
        return entries;
    }

    /** Returns the window. */
    public UsageWindow window() {
        return new UsageWindow(windowStartMs);
    }

    /** Returns the usage of an origin that this window bills: its own, or what it carries for an earlier one. */
    public Map<UsageKey, UsageTotals> billedFor(UsageWindow origin) {
        Map<UsageKey, UsageTotals> billed = new HashMap<>();
        if (origin.startMs() == windowStartMs) {
            add(entries, billed);
        }
        for (Late each : late) {
            if (each.originWindowStartMs() == origin.startMs()) {
                add(each.entries(), billed);
            }
        }
        return billed;
    }

    private static void add(List<Entry> entries, Map<UsageKey, UsageTotals> billed) {
        for (Entry each : entries) {
            billed.merge(
                    new UsageKey(each.clientAccount(), each.className(), each.service()),
                    new UsageTotals(each.requests(), each.promptTokens(), each.outputTokens()),
                    UsageTotals::plus);
        }
    }

    /** Returns what is known of a window beyond what was billed for it; figures that shrank count as none. */
    public static Map<UsageKey, UsageTotals> unbilled(
            Map<UsageKey, UsageTotals> known, Map<UsageKey, UsageTotals> billed) {
        Map<UsageKey, UsageTotals> rest = new HashMap<>();
        known.forEach((key, totals) -> {
            UsageTotals before = billed.getOrDefault(key, UsageTotals.NONE);
            UsageTotals more = new UsageTotals(
                    Math.max(0, totals.requests() - before.requests()),
                    Math.max(0, totals.promptTokens() - before.promptTokens()),
                    Math.max(0, totals.outputTokens() - before.outputTokens()));
            if (!more.equals(UsageTotals.NONE)) {
                rest.put(key, more);
            }
        });
        return rest;
    }

    /** Returns the canonical bytes: equal figures have equal bytes on every process. */
    public byte[] toBytes() {
        return CanonicalJson.write(this).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads the canonical bytes.
     *
     * @throws IllegalArgumentException if they are not readable
     */
    public static SealedWindow fromBytes(byte[] bytes) {
        try {
            return CanonicalJson.mapper().readValue(new String(bytes, StandardCharsets.UTF_8), SealedWindow.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("sealed window is not readable: " + e.getOriginalMessage(), e);
        }
    }
}
