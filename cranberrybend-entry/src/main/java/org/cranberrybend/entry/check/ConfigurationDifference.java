package org.cranberrybend.entry.check;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cranberrybend.entry.configuration.AccountDefinition;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.ConfigurationDocument;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.http.ServerLimits;

/** Compares two versions of the configuration, entry by entry. */
public final class ConfigurationDifference {
    private static final String KEYS = "keys";

    private ConfigurationDifference() {}

    /** Returns what a new version changes, in order of the entries' names within routes, services, accounts, limits. */
    public static List<Change> between(ConfigurationDocument inForce, ConfigurationDocument next) {
        List<Change> changes = new ArrayList<>();
        compare(routes(inForce), routes(next), changes);
        compare(services(inForce), services(next), changes);
        compare(accounts(inForce), accounts(next), changes);
        compare(Map.of("limits", limits(inForce)), Map.of("limits", limits(next)), changes);
        return changes;
    }

    private static void compare(
            Map<String, Map<String, Object>> before, Map<String, Map<String, Object>> after, List<Change> changes) {
        for (String subject : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
            if (!after.containsKey(subject)) {
                changes.add(new Change(Change.Kind.REMOVED, subject, List.of()));
            } else if (!before.containsKey(subject)) {
                changes.add(new Change(Change.Kind.ADDED, subject, List.of()));
            } else if (!before.get(subject).equals(after.get(subject))) {
                changes.add(new Change(Change.Kind.CHANGED, subject, details(before.get(subject), after.get(subject))));
            }
        }
    }

    private static List<String> details(Map<String, Object> before, Map<String, Object> after) {
        List<String> details = new ArrayList<>();
        before.forEach((field, value) -> {
            Object later = after.get(field);
            if (field.equals(KEYS)) {
                addKeys(details, "removed", (Set<?>) value, (Set<?>) later);
                addKeys(details, "added", (Set<?>) later, (Set<?>) value);
            } else if (!Objects.equals(value, later)) {
                details.add(field + ": " + value + " -> " + later);
            }
        });
        return details;
    }

    private static void addKeys(List<String> details, String verb, Set<?> keys, Set<?> others) {
        Set<String> digests = new TreeSet<>();
        Sets.difference(keys, others).forEach(key -> digests.add(KeyDigest.of((String) key)));
        if (!digests.isEmpty()) {
            details.add("keys " + verb + ": " + String.join(", ", digests));
        }
    }

    /** Adds an entry; later entries with the same name are distinguished by their position among them. */
    private static void put(Map<String, Map<String, Object>> entries, String subject, Map<String, Object> fields) {
        String unique = subject;
        for (int position = 2; entries.containsKey(unique); position++) {
            unique = subject + " (" + position + ")";
        }
        entries.put(unique, fields);
    }

    private static Map<String, Map<String, Object>> routes(ConfigurationDocument document) {
        Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
        for (Route route : document.routes()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("host", route.host());
            fields.put("prefix", route.prefix());
            fields.put("retry rule", route.retryRule());
            fields.put("streaming", route.streaming());
            fields.put("timeout ms", route.timeoutMs());
            fields.put("latency target ms", route.targetLatencyMs());
            fields.put("pause target ms", route.eventGapTargetMs());
            fields.put("priority", route.priority());
            fields.put(
                    "services (weight)",
                    route.targets().stream()
                            .map(target -> target.service() + " (" + target.weight() + ")")
                            .collect(Collectors.joining(", ")));
            fields.put("attempts", route.maxAttempts());
            fields.put("anonymous requests", route.allowAnonymous());
            fields.put("regions", text(route.regions()));
            put(entries, "route " + route.name(), fields);
        }
        return entries;
    }

    private static Map<String, Map<String, Object>> services(ConfigurationDocument document) {
        Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
        for (ServiceDefinition service : document.services()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("connections", service.maxConnections());
            fields.put("slots", value(service.engine().map(ServiceDefinition.EngineDefinition::slots)));
            fields.put("cache tokens", value(service.engine().map(ServiceDefinition.EngineDefinition::kvCacheTokens)));
            fields.put("upstreams min", value(service.scaling().map(bounds -> bounds.min())));
            fields.put("upstreams max", value(service.scaling().map(bounds -> bounds.max())));
            fields.put("start ms", value(service.scaling().map(bounds -> bounds.startMs())));
            fields.put("preemptible price", value(service.scaling().map(bounds -> bounds.preemptiblePriceRatio())));
            fields.put("zone prices", value(service.scaling().map(bounds -> new TreeMap<>(bounds.zonePrices()))));
            fields.put("warm-up ms", value(service.warmUp().map(ServiceDefinition.WarmUp::durationMs)));
            fields.put("warm-up requests/s", value(service.warmUp().map(ServiceDefinition.WarmUp::requestsPerS)));
            put(entries, "service " + service.name(), fields);
        }
        return entries;
    }

    private static Map<String, Map<String, Object>> accounts(ConfigurationDocument document) {
        Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
        for (AccountDefinition account : document.accounts()) {
            AccountEntry entry = account.entry();
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("priority", entry.priority() == AccountEntry.ROUTE_PRIORITY ? "of route" : entry.priority());
            fields.put("regions", text(entry.regions()));
            fields.put(KEYS, Set.copyOf(account.keys()));
            put(entries, "account " + entry.name(), fields);
        }
        return entries;
    }

    private static Map<String, Object> limits(ConfigurationDocument document) {
        ServerLimits limits = document.callerLimits();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("head line bytes", limits.maxHeadLineBytes());
        fields.put("body bytes", limits.maxBodyBytes());
        fields.put("receive timeout ms", limits.receiveTimeoutMs());
        fields.put("idle timeout ms", limits.idleTimeoutMs());
        fields.put("keys required", document.keysRequired());
        return fields;
    }

    private static String text(RegionConstraint regions) {
        return regions.allowed()
                .map(names -> String.join(", ", new TreeSet<>(names)))
                .orElse("all");
    }

    private static Object value(Optional<?> value) {
        return value.isPresent() ? value.get() : "none";
    }
}
