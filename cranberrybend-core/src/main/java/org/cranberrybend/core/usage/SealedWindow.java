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
 * Final usage totals of a window, which never change after it was sealed. The canonical bytes are stored and reported.
 *
 * @param windowStartMs start of the window in milliseconds since the epoch
 * @param windowEndMs end of the window (exclusive) in milliseconds since the epoch
 * @param entries usage of requests that ended in the window, ordered by key
 * @param late usage of earlier windows that arrived after they were sealed, by original window
 */
public record SealedWindow(long windowStartMs, long windowEndMs, List<Entry> entries, List<Late> late) {
    /**
     * Usage of one client account, request class and service.
     *
     * @param clientAccount name of the client account
     * @param className name of the request class
     * @param service name of the model or plain service
     * @param requests number of requests that ended
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
     * Usage that is billed in a later window because it arrived after its own window was sealed.
     *
     * @param originWindowStartMs start of the original window, in which the requests ended
     * @param entries usage that neither the original window nor any window sealed since contains
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

    /** Seals a window. {@code late} contains usage by original window; windows without usage are omitted. */
    public static SealedWindow of(
            UsageWindow window,
            Map<UsageKey, UsageTotals> totals,
            ImmutableSortedMap<UsageWindow, Map<UsageKey, UsageTotals>> late) {
        List<Late> lateUsage = new ArrayList<>();
        late.forEach((origin, usage) -> {
            if (!usage.isEmpty()) {
                lateUsage.add(new Late(origin.startMs(), entries(usage)));
            }
        });
        return new SealedWindow(window.startMs(), window.endMs(), entries(totals), lateUsage);
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

    /**
     * Returns the usage of a window that is billed in this one: its own usage, or the late usage of an earlier window.
     */
    public Map<UsageKey, UsageTotals> billedFor(UsageWindow origin) {
        Map<UsageKey, UsageTotals> billed = new HashMap<>();
        if (origin.startMs() == windowStartMs) {
            addAll(entries, billed);
        }
        for (Late each : late) {
            if (each.originWindowStartMs() == origin.startMs()) {
                addAll(each.entries(), billed);
            }
        }
        return billed;
    }

    private static void addAll(List<Entry> entries, Map<UsageKey, UsageTotals> billed) {
        for (Entry each : entries) {
            billed.merge(
                    new UsageKey(each.clientAccount(), each.className(), each.service()),
                    new UsageTotals(each.requests(), each.promptTokens(), each.outputTokens()),
                    UsageTotals::plus);
        }
    }

    /** Returns the part of the known usage of a window that was not billed yet. Totals lower than billed count as 0. */
    public static Map<UsageKey, UsageTotals> unbilled(
            Map<UsageKey, UsageTotals> known, Map<UsageKey, UsageTotals> billed) {
        Map<UsageKey, UsageTotals> unbilled = new HashMap<>();
        known.forEach((key, totals) -> {
            UsageTotals billedTotals = billed.getOrDefault(key, UsageTotals.NONE);
            UsageTotals remaining = new UsageTotals(
                    Math.max(0, totals.requests() - billedTotals.requests()),
                    Math.max(0, totals.promptTokens() - billedTotals.promptTokens()),
                    Math.max(0, totals.outputTokens() - billedTotals.outputTokens()));
            if (!remaining.equals(UsageTotals.NONE)) {
                unbilled.put(key, remaining);
            }
        });
        return unbilled;
    }

    /** Returns the canonical bytes; equal windows have equal bytes in every process. */
    public byte[] toBytes() {
        return CanonicalJson.write(this).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Parses the canonical bytes.
     *
     * @throws IllegalArgumentException if they cannot be parsed
     */
    public static SealedWindow fromBytes(byte[] bytes) {
        try {
            return CanonicalJson.mapper().readValue(new String(bytes, StandardCharsets.UTF_8), SealedWindow.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("sealed window is not readable: " + e.getOriginalMessage(), e);
        }
    }
}
