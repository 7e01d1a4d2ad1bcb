package org.cranberrybend.core.usage;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Usage of one window as a grow-only counter (G-counter): the cumulative counters of each router incarnation.
 *
 * <p>The counters of an incarnation only increase, so a merge takes the maximum of each value. Merging is idempotent,
 * commutative and associative, so repeated, late and reordered messages have no effect on the result, and two
 * controllers with the same counters do not count them twice. Immutable.
 *
 * @param sources counters by router incarnation and key
 */
public record UsageLedger(ImmutableSortedMap<String, ImmutableSortedMap<UsageKey, UsageTotals>> sources) {
    /** Order of keys in sealed windows and reports. */
    public static final Comparator<UsageKey> KEY_ORDER = Comparator.comparing(UsageKey::clientAccount)
            .thenComparing(UsageKey::className)
            .thenComparing(UsageKey::service);

    /** Ledger without usage. */
    public static final UsageLedger EMPTY = new UsageLedger(ImmutableSortedMap.of());

    /** Returns this ledger with the counters of one router incarnation merged in. */
    public UsageLedger merge(String source, Map<UsageKey, UsageTotals> counters) {
        Map<UsageKey, UsageTotals> merged = new HashMap<>(sources.getOrDefault(source, ImmutableSortedMap.of()));
        counters.forEach((key, totals) -> merged.merge(key, totals, UsageLedger::maximum));
        Map<String, ImmutableSortedMap<UsageKey, UsageTotals>> all = new TreeMap<>(sources);
        all.put(source, ImmutableSortedMap.copyOf(merged, KEY_ORDER));
        return new UsageLedger(ImmutableSortedMap.copyOf(all));
    }

    /** Returns the result of merging both ledgers. */
    public UsageLedger merge(UsageLedger other) {
        UsageLedger merged = this;
        for (Map.Entry<String, ImmutableSortedMap<UsageKey, UsageTotals>> each : other.sources.entrySet()) {
            merged = merged.merge(each.getKey(), each.getValue());
        }
        return merged;
    }

    /** Returns the sum over all router incarnations. */
    public ImmutableSortedMap<UsageKey, UsageTotals> totals() {
        Map<UsageKey, UsageTotals> totals = new HashMap<>();
        sources.values()
                .forEach(counters -> counters.forEach((key, value) -> totals.merge(key, value, UsageTotals::plus)));
        return ImmutableSortedMap.copyOf(totals, KEY_ORDER);
    }

    private static UsageTotals maximum(UsageTotals left, UsageTotals right) {
        return new UsageTotals(
                Math.max(left.requests(), right.requests()),
                Math.max(left.promptTokens(), right.promptTokens()),
                Math.max(left.outputTokens(), right.outputTokens()));
    }
}
