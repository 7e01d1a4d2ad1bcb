package org.cranberrybend.entry.check;

import com.google.common.base.CharMatcher;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cranberrybend.entry.configuration.AccountDefinition;
import org.cranberrybend.entry.configuration.ConfigurationDocument;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.ScalingBounds;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.http.HeaderText;

/** Finds entries that can never match and limits that contradict each other in a configuration that can be decoded. */
public final class ConfigurationCheck {
    private static final long BYTES_PER_MB = 1024 * 1024;
    /** Names of accounts in one message; a fleet can have 13,000. */
    private static final int MAX_LISTED = 3;

    private final ConfigurationDocument document;
    private final Map<String, String> regionsByZone;
    private final Map<String, ServiceDefinition> services = new LinkedHashMap<>();
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationCheck(ConfigurationDocument document, Map<String, String> regionsByZone) {
        this.document = document;
        this.regionsByZone = regionsByZone;
        document.services().forEach(service -> services.put(service.name(), service));
    }

    /**
     * Checks a configuration.
     *
     * @param versionInForce version that the configuration is to replace; 0 if there is none
     * @param regionsByZone region of each availability zone; if it is empty, allowed regions are not compared with zones
     * @param memoryMb memory of an instance in MB of 1,048,576 bytes; if empty, the body limit is not checked
     */
    public static List<Finding> findings(
            ConfigurationDocument document,
            long versionInForce,
            Map<String, String> regionsByZone,
            OptionalInt memoryMb) {
        ConfigurationCheck check = new ConfigurationCheck(document, regionsByZone);
        if (document.version() <= versionInForce) {
            check.add(
                    FindingCode.VERSION_NOT_NEWER,
                    "version " + document.version() + " must be above " + versionInForce);
        }
        check.checkRoutes();
        check.checkServices();
        check.checkKeys();
        check.checkHeaderTexts();
        check.checkAccountRegions();
        int maxBodyBytes = document.callerLimits().maxBodyBytes();
        if (memoryMb.isPresent() && maxBodyBytes > memoryMb.getAsInt() * BYTES_PER_MB) {
            check.add(
                    FindingCode.BODY_LIMIT_ABOVE_MEMORY,
                    "bodies may have " + maxBodyBytes + " bytes, an instance has " + memoryMb.getAsInt() + " MB");
        }
        return List.copyOf(check.findings);
    }

    private void add(FindingCode code, String message) {
        findings.add(new Finding(code, message));
    }

    private void checkRoutes() {
        Map<List<String>, String> names = new HashMap<>();
        for (Route route : document.routes()) {
            String subject = "route " + route.name();
            String earlier = names.putIfAbsent(List.of(route.host(), route.prefix()), route.name());
            if (earlier != null) {
                add(
                        FindingCode.ROUTE_HIDDEN,
                        subject + " has the host " + route.host() + " and the prefix " + route.prefix() + " of route "
                                + earlier);
            }
            if (route.targetLatencyMs() > route.timeoutMs()) {
                add(FindingCode.LATENCY_TARGET_ABOVE_TIMEOUT, aboveTimeout(route, route.targetLatencyMs()));
            }
            if (route.eventGapTargetMs() > route.timeoutMs()) {
                add(FindingCode.PAUSE_TARGET_ABOVE_TIMEOUT, aboveTimeout(route, route.eventGapTargetMs()));
            }
            checkWeights(route);
            checkZones(route);
        }
    }

    /** If all weights are 0, the first target receives all requests. */
    private void checkWeights(Route route) {
        boolean allZero = route.targets().stream().allMatch(target -> target.weight() == 0);
        for (Route.Target target :
                route.targets().subList(allZero ? 1 : 0, route.targets().size())) {
            if (target.weight() <= 0) {
                add(
                        FindingCode.TARGET_WITHOUT_WEIGHT,
                        "route " + route.name() + ": service " + target.service() + " has the weight "
                                + target.weight());
            }
        }
    }

    private static String aboveTimeout(Route route, long targetMs) {
        return "route " + route.name() + ": target " + targetMs + " ms, timeout " + route.timeoutMs() + " ms";
    }

    /** A service without zone prices may run in every zone. */
    private void checkZones(Route route) {
        Set<String> targets =
                route.targets().stream().map(Route.Target::service).collect(Collectors.toSet());
        for (String service : new TreeSet<>(targets)) {
            Set<String> regions = regionsOf(service);
            for (String region : new TreeSet<>(route.regions().allowed().orElse(Set.of()))) {
                if (!regions.isEmpty() && !regions.contains(region)) {
                    add(
                            FindingCode.REGION_WITHOUT_ZONE,
                            "route " + route.name() + ": service " + service + " has no zone in region " + region);
                }
            }
        }
    }

    /** Returns the regions of a service's zones; all known regions for a service without zone prices. */
    private Set<String> regionsOf(String service) {
        Set<String> zones = services.containsKey(service)
                ? services.get(service)
                        .scaling()
                        .map(ScalingBounds::zonePrices)
                        .orElse(Map.of())
                        .keySet()
                : Set.of();
        Set<String> regions = new HashSet<>();
        regionsByZone.forEach((zone, region) -> {
            if (zones.isEmpty() || zones.contains(zone)) {
                regions.add(region);
            }
        });
        if (regions.isEmpty() && !regionsByZone.isEmpty()) {
            // None of the priced zones has a region: no request with a constraint reaches the service.
            regions.add("");
        }
        return regions;
    }

    private void checkServices() {
        Set<String> used = document.routes().stream()
                .flatMap(route -> route.targets().stream())
                .map(Route.Target::service)
                .collect(Collectors.toSet());
        Set<String> seen = new HashSet<>();
        for (ServiceDefinition service : document.services()) {
            if (!seen.add(service.name())) {
                add(FindingCode.SERVICE_REPLACED, "service " + service.name() + " is defined more than once");
            } else if (!used.contains(service.name())) {
                add(FindingCode.SERVICE_UNUSED, "no route names service " + service.name());
            }
        }
    }

    private void checkKeys() {
        Map<String, AccountDefinition> holders = new HashMap<>();
        for (AccountDefinition account : document.accounts()) {
            for (String key : account.keys()) {
                AccountDefinition earlier = holders.put(key, account);
                if (earlier != null && earlier != account) {
                    add(
                            FindingCode.KEY_SHARED,
                            "accounts " + earlier.entry().name() + " and "
                                    + account.entry().name() + " list the key " + KeyDigest.of(key));
                }
            }
        }
    }

    /** Requests of an account whose name no header can hold are refused; the other texts match no request. */
    private void checkHeaderTexts() {
        for (Route route : document.routes()) {
            checkHeaderText("host of route " + route.name(), route.host());
            checkHeaderText("prefix of route " + route.name(), route.prefix());
        }
        for (AccountDefinition account : document.accounts()) {
            String name = account.entry().name();
            checkHeaderText("name of account " + name, name);
            account.keys().forEach(key -> checkHeaderText("key " + KeyDigest.of(key) + " of account " + name, key));
        }
    }

    private void checkHeaderText(String subject, String text) {
        if (HeaderText.encode(text).isEmpty()) {
            add(FindingCode.TEXT_UNUSABLE_IN_HEADER, "no header can hold the " + escaped(subject));
        }
    }

    /** Returns a text with a question mark for each control character, so that a finding stays on its line. */
    private static String escaped(String text) {
        return CharMatcher.javaIsoControl().replaceFrom(text, '?');
    }

    /** Accounts are grouped by their constraint, so that the work does not grow with accounts times routes. */
    private void checkAccountRegions() {
        Map<RegionConstraint, List<String>> accounts = new LinkedHashMap<>();
        for (AccountDefinition account : document.accounts()) {
            accounts.computeIfAbsent(account.entry().regions(), regions -> new ArrayList<>())
                    .add(account.entry().name());
        }
        Set<String> served = document.services().stream()
                .flatMap(service -> regionsOf(service.name()).stream())
                .collect(Collectors.toSet());
        accounts.forEach((regions, names) -> {
            for (String region : new TreeSet<>(regions.allowed().orElse(Set.of()))) {
                if (!served.isEmpty() && !served.contains(region)) {
                    add(
                            FindingCode.REGION_WITHOUT_ZONE,
                            "no service has a zone in region " + region + ", which these accounts allow: "
                                    + shortened(names));
                }
            }
        });
        for (Route route : document.routes()) {
            List<String> excluded = new ArrayList<>();
            accounts.forEach((regions, names) -> {
                if (regions.and(route.regions()).allowed().map(Set::isEmpty).orElse(false)) {
                    excluded.addAll(names);
                }
            });
            if (!excluded.isEmpty()) {
                add(
                        FindingCode.REGIONS_DISJOINT,
                        "route " + route.name() + " allows no region of these accounts: " + shortened(excluded));
            }
        }
    }

    private static String shortened(List<String> names) {
        return names.size() <= MAX_LISTED
                ? String.join(", ", names)
                : String.join(", ", names.subList(0, MAX_LISTED)) + " and " + (names.size() - MAX_LISTED) + " more";
    }
}
