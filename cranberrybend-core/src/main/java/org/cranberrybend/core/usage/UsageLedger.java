package org.cranberrybend.core.usage;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Usage of one window as known from the cumulative counters of router incarnations.
 *
 * <p>Counters of one incarnation only grow, so merging takes the larger figure. Merging is idempotent and independent
 * of the order, so repeated, late and crossing deliveries do no harm, and two controllers that hold the same counters
 * do not count them twice. Immutable.
 *
 * @param sources figures by router incarnation and key
 */
public record UsageLedger(ImmutableSortedMap<String, ImmutableSortedMap<UsageKey, UsageTotals>> sources) {
    /** Order of keys in everything that is written. */
    public static final Comparator<UsageKey> KEY_ORDER = Comparator.comparing(UsageKey::clientAccount)
            .thenComparing(UsageKey::className)
            .thenComparing(UsageKey::service);

    /** The ledger without usage. */
    public static final UsageLedger EMPTY = new UsageLedger(ImmutableSortedMap.of());

    /** Returns this ledger with the counters of one router incarnation merged in. */
    public UsageLedger merge(String source, Map<UsageKey, UsageTotals> counters) {
        Map<UsageKey, UsageTotals> merged = new HashMap<>(sources.getOrDefault(source, ImmutableSortedMap.of()));
        counters.forEach((key, totals) -> merged.merge(key, totals, UsageLedger::larger));
        Map<String, ImmutableSortedMap<UsageKey, UsageTotals>> all = new TreeMap<>(sources);
        all.put(source, ImmutableSortedMap.copyOf(merged, KEY_ORDER));
        return new UsageLedger(ImmutableSortedMap.copyOf(all));
    }

    /** Returns the union of both ledgers. */
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

    private static UsageTotals larger(UsageTotals left, UsageTotals right) {
        return new UsageTotals(
                Math.max(left.requests(), right.requests()),
                Math.max(left.promptTokens(), right.promptTokens()),
                Math.max(left.outputTokens(), right.outputTokens()));
    }
}
