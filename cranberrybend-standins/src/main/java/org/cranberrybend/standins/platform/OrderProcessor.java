package org.cranberrybend.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;

/**
 * Records and executes upstream orders. Repeated orders take effect again: the platform does not deduplicate by order
 * identifier.
 *
 * <p>States of an order: {@code accepted} (a start order while no spares are configured; nothing is started),
 * {@code started}, {@code unavailable} (no free spare matches the zone, market and model), {@code stopping},
 * {@code unknown_upstream} (a stop order for an upstream that is not listed in the zone).
 */
public final class OrderProcessor {
    private final TimeSource time;
    private final InstanceList instances;
    private final List<InstanceEntry> spares;
    private final long startDelayMs;
    private final long stopGraceMs;
    private final List<UpstreamOrder> received = new ArrayList<>();

    /**
     * Creates a processor without orders.
     *
     * @param spares entries that start orders add to the instance list, each while it is not in use
     * @param startDelayMs time from a start order until the entry is live, in milliseconds,
     *     excluding the lag of the list
     * @param stopGraceMs time from a stop order, which marks the entry as leaving, to the removal of the entry
     */
    public OrderProcessor(
            TimeSource time, InstanceList instances, List<InstanceEntry> spares, long startDelayMs, long stopGraceMs) {
        this.time = time;
        this.instances = instances;
        this.spares = List.copyOf(spares);
        this.startDelayMs = startDelayMs;
        this.stopGraceMs = stopGraceMs;
    }

    /** Executes an order, records it and returns it with its resulting state. */
    public synchronized UpstreamOrder receive(String zone, UpstreamOrder order) {
        UpstreamOrder accepted = order.action().equals("start") ? start(zone, order) : stop(zone, order);
        received.add(accepted);
        return accepted;
    }

    private UpstreamOrder start(String zone, UpstreamOrder order) {
        if (spares.isEmpty()) {
            return order.accepted(zone, "accepted", null, time.wallMs());
        }
        Optional<InstanceEntry> spare =
                spares.stream().filter(each -> matches(each, zone, order)).findFirst();
        if (spare.isEmpty()) {
            return order.accepted(zone, "unavailable", null, time.wallMs());
        }
        instances.set(spare.get(), startDelayMs);
        return order.accepted(zone, "started", spare.get().id(), time.wallMs());
    }

    private boolean matches(InstanceEntry spare, String zone, UpstreamOrder order) {
        boolean modelFits = order.model() == null
                || order.model().equals(spare.service())
                || (spare.models() != null && spare.models().contains(order.model()));
        boolean marketFits = order.market() == null || order.market().equals(spare.market());
        return spare.zone().equals(zone) && modelFits && marketFits && !instances.isInUse(spare.id());
    }

    private UpstreamOrder stop(String zone, UpstreamOrder order) {
        Optional<InstanceEntry> listed = instances.latest(order.upstreamId());
        if (listed.isEmpty() || !listed.get().zone().equals(zone)) {
            return order.accepted(zone, "unknown_upstream", order.upstreamId(), time.wallMs());
        }
        instances.set(listed.get().withState("leaving"), 0);
        instances.remove(order.upstreamId(), stopGraceMs);
        return order.accepted(zone, "stopping", order.upstreamId(), time.wallMs());
    }

    /** Returns the orders received for a zone, in order of arrival, including repeated ones. */
    public synchronized List<UpstreamOrder> received(String zone) {
        return received.stream().filter(each -> each.zone().equals(zone)).toList();
    }
}
