package org.cranberrybend.controller.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.core.usage.UsageWindow;

/** Keys of usage data in the key-value store, and the encoding of open windows. Has no state. */
final class UsageStoreKeys {
    static final String PROGRESS = "usage/progress";
    static final String LATE_PREFIX = "usage/late/";

    private UsageStoreKeys() {}

    private record StoredCounter(String source, UsageKey key, UsageTotals totals) {}

    static String openPrefix(UsageWindow window) {
        return "usage/open/" + window.startMs() + "/";
    }

    static String open(UsageWindow window, String zone, String controller) {
        return openPrefix(window) + zone + "/" + controller;
    }

    static String sealed(UsageWindow window) {
        return "usage/sealed/" + window.startMs();
    }

    static String late(UsageWindow window) {
        return LATE_PREFIX + window.startMs();
    }

    static UsageWindow lateWindow(String key) {
        return new UsageWindow(Long.parseLong(key.substring(LATE_PREFIX.length())));
    }

    static byte[] write(UsageLedger ledger) {
        List<StoredCounter> counters = new ArrayList<>();
        ledger.sources()
                .forEach((source, totalsByKey) ->
                        totalsByKey.forEach((key, totals) -> counters.add(new StoredCounter(source, key, totals))));
        return CanonicalJson.write(counters).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a ledger.
     *
     * @throws IllegalArgumentException if the value cannot be parsed
     */
    static UsageLedger readLedger(byte[] value) {
        try {
            List<StoredCounter> counters = CanonicalJson.mapper()
                    .readValue(new String(value, StandardCharsets.UTF_8), new TypeReference<List<StoredCounter>>() {});
            Map<String, Map<UsageKey, UsageTotals>> sources = new HashMap<>();
            counters.forEach(each -> sources.computeIfAbsent(each.source(), ignored -> new HashMap<>())
                    .put(each.key(), each.totals()));
            UsageLedger ledger = UsageLedger.EMPTY;
            for (Map.Entry<String, Map<UsageKey, UsageTotals>> each : sources.entrySet()) {
                ledger = ledger.merge(each.getKey(), each.getValue());
            }
            return ledger;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("open usage cannot be parsed: " + e.getOriginalMessage(), e);
        }
    }
}
