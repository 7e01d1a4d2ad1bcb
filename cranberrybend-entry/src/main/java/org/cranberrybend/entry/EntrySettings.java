package org.cranberrybend.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.rateshare.LimitBound;
import org.cranberrybend.entry.http.HeaderText;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;

/**
 * Settings of an entry instance, read from a JSON file.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param regionsByZone region of each availability zone
 * @param callerAddress address for requests of callers
 * @param readinessAddress address of the readiness probe
 * @param controlAddress address for requests of other instances
 * @param metricsAddress address of the metrics endpoint
 * @param seeds control addresses of some instances at the time of deployment; they may be outdated
 * @param storeAddress address of the key-value store
 * @param dutyAddress address of the platform for calls of duties; null if there are none
 * @param dutyNames names of the duties that the platform assigns
 * @param upstreamDrainMs time after an upstream starts to drain in which it still accepts requests, in milliseconds
 * @param contactMs time after a failure of its connections from which an instance must know all changes again, in
 *     milliseconds
 * @param memoryMb memory limit of the instance, in MB
 * @param maxDescriptors limit on the open descriptors of the process; 0 if unknown
 * @param shutdownLimitMs time from the stop signal until the process is killed, in milliseconds
 * @param retryRatio retries allowed as a ratio of requests
 * @param retryAllowance additional retries allowed in a window, for all instances together
 * @param leaseMs shortest time between calls of two lease holders that alternate, in milliseconds
 * @param usageWindowMs length of a usage window, in milliseconds
 * @param usageDueMs time from the end of a window until its report is due, in milliseconds
 * @param warmUpOvershoot factor by which requests to an upstream that is warming up may exceed its rate in a second
 * @param warmUpSlack requests by which they may exceed that in addition
 * @param rateLimitBound requests that an upstream with a stated rate limit may receive
 */
public record EntrySettings(
        String instance,
        String zone,
        Map<String, String> regionsByZone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress metricsAddress,
        List<InetSocketAddress> seeds,
        InetSocketAddress storeAddress,
        InetSocketAddress dutyAddress,
        List<String> dutyNames,
        long upstreamDrainMs,
        long contactMs,
        int memoryMb,
        int maxDescriptors,
        long shutdownLimitMs,
        double retryRatio,
        double retryAllowance,
        long leaseMs,
        long usageWindowMs,
        long usageDueMs,
        double warmUpOvershoot,
        double warmUpSlack,
        LimitBound rateLimitBound) {
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final long DEFAULT_UPSTREAM_DRAIN_MS = 2_500;
    private static final long DEFAULT_CONTACT_MS = 4_000;
    /** Without a stated bound, the rate of an upstream that is warming up is the bound. */
    private static final double DEFAULT_WARM_UP_OVERSHOOT = 1;

    /** Some requests more than the rate must be possible, or the few of a low rate could not be divided at all. */
    private static final LimitBound DEFAULT_RATE_LIMIT_BOUND = new LimitBound(4_000, 1.5, 5);

    public EntrySettings {
        regionsByZone = Map.copyOf(regionsByZone);
        seeds = List.copyOf(seeds);
        dutyNames = List.copyOf(dutyNames);
    }

    /** Parses settings; the message of an exception names the field. */
    public static EntrySettings parse(byte[] text) throws JsonFormatException {
        JsonObject json = Json.readObject(text);
        JsonObject listen = json.object("listen");
        JsonObject duties = json.object("duties");
        JsonObject retries = json.object("retry_budget");
        JsonObject usage = json.object("usage");
        Optional<JsonObject> slowStart = json.optionalObject("slow_start");
        Map<String, String> regions = new HashMap<>();
        JsonObject zones = json.object("regions_by_zone");
        for (String zone : zones.names()) {
            regions.put(zone, zones.string(zone));
        }
        regions.putIfAbsent(json.string("availability_zone"), json.string("region"));
        return new EntrySettings(
                instance(json),
                json.string("availability_zone"),
                regions,
                listen.address("callers"),
                listen.address("readiness"),
                listen.address("control"),
                listen.address("metrics"),
                json.addresses("seeds"),
                json.object("store").address("address"),
                duties.has("address") ? duties.address("address") : null,
                duties.strings("names"),
                json.integer("upstream_drain_ms", DEFAULT_UPSTREAM_DRAIN_MS),
                json.integer("contact_ms", DEFAULT_CONTACT_MS),
                (int) json.integer("memory_mb"),
                (int) json.integer("max_fds", 0),
                json.integer("shutdown_limit_s") * 1_000,
                retries.decimal("ratio", DEFAULT_RETRY_RATIO),
                retries.decimal("allowance", 0),
                json.integer("lease_ms"),
                usage.integer("window_s") * 1_000,
                usage.integer("due_s") * 1_000,
                slowStart.isEmpty()
                        ? DEFAULT_WARM_UP_OVERSHOOT
                        : slowStart.get().decimal("overshoot", DEFAULT_WARM_UP_OVERSHOOT),
                slowStart.isEmpty() ? 0 : slowStart.get().decimal("slack", 0),
                rateLimitBound(json));
    }

    /** Calls to the platform carry the name in a header, which distinguishes the holders of a lease. */
    private static String instance(JsonObject json) throws JsonFormatException {
        String name = json.string("instance");
        if (HeaderText.encode(name).isEmpty()) {
            throw new JsonFormatException("field instance must be text that a header can hold");
        }
        return name;
    }

    private static LimitBound rateLimitBound(JsonObject json) throws JsonFormatException {
        Optional<JsonObject> rateLimit = json.optionalObject("rate_limit");
        if (rateLimit.isEmpty()) {
            return DEFAULT_RATE_LIMIT_BOUND;
        }
        LimitBound defaults = DEFAULT_RATE_LIMIT_BOUND;
        try {
            return new LimitBound(
                    rateLimit.get().integer("window_ms", defaults.windowMs()),
                    rateLimit.get().decimal("overshoot", defaults.overshoot()),
                    rateLimit.get().decimal("slack", defaults.slack()));
        } catch (IllegalArgumentException e) {
            throw new JsonFormatException("rate_limit: " + e.getMessage(), e);
        }
    }
}
