package org.cranberrybend.entry.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cranberrybend.core.admission.OverloadQueue;
import org.cranberrybend.core.admission.ServiceOccupancy;
import org.cranberrybend.core.admission.ServiceOccupancy.Decision;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.upstream.EngineState;
import org.cranberrybend.entry.upstream.OccupancyReader;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Holds back the requests for which all upstreams are full, and refuses those that cannot be answered in time. If the
 * chosen upstream has room and nothing waits for its service, this costs one comparison. Confined to the event loop.
 *
 * <p>A request waits for a part of its target latency. Then it is sent although the upstreams are full, if it is next in
 * order and an answer before its deadline is expected; otherwise it is refused, because the requests ahead of it take
 * the room.
 */
final class OverloadAdmission {
    /** Interval of checks; responses free slots every few milliseconds while all upstreams are full. */
    private static final long CHECK_MS = 20;
    /** Part of its target latency that a request waits at most. */
    private static final long TARGET_DIVISOR = 8;
    /** Waiting requests of a service, and the memory of their bodies. */
    private static final int MAX_REQUESTS = 1_000;

    private static final long MAX_BYTES = 4 * 1024 * 1024;

    private final OccupancyReader reader;
    private final ServiceOccupancy occupancy = new ServiceOccupancy();
    private final Map<String, OverloadQueue<HeldRequest>> queues = new HashMap<>();
    private final Map<HeldRequest, OverloadQueue.Entry<HeldRequest>> entries = new IdentityHashMap<>();
    private final Set<String> scheduled = new HashSet<>();
    private RequestServices services;

    OverloadAdmission(OccupancyReader reader) {
        this.reader = reader;
    }

    /** Sets the components of the process, of which this is one; must be called before the first request. */
    void connect(RequestServices connected) {
        services = connected;
    }

    /** Returns the number of waiting requests. */
    int count() {
        return entries.size();
    }

    /**
     * Decides about a request that is to be sent for the first time.
     *
     * @param chosen upstream that was chosen for it
     * @return whether it is not to be sent by the caller: it waits, was sent in order, or was refused
     */
    boolean takes(HeldRequest arriving, Upstream chosen) {
        String service = arriving.request().service();
        OverloadQueue<HeldRequest> queue = queues.get(service);
        boolean others = queue != null && queue.count() > 0;
        if (!others && !OccupancyReader.isFull(chosen, nowMs())) {
            return false;
        }
        read(arriving);
        if (!others && !occupancy.isOverloaded()) {
            return false;
        }
        if (queue == null) {
            queue = queues.computeIfAbsent(service, name -> new OverloadQueue<>(MAX_REQUESTS, MAX_BYTES));
        }
        RoutedRequest request = arriving.request();
        OverloadQueue.Demand demand = demand(request);
        if (!occupancy.isOverloaded() && !queue.fits(demand)) {
            // The queue may be full of requests that are constrained to other regions.
            drain(service, queue);
            read(arriving);
            if (!queue.fits(demand)) {
                return false;
            }
        }
        int ahead = queue.countAhead(demand.priority());
        double responseMs = responseMs(request);
        Decision decision = occupancy.decide(ahead, responseMs, demand.latestSendMs(), request.deadlineMs(), nowMs());
        if (decision == Decision.REFUSE) {
            refuse(arriving, queue, "cannot be answered in time", ahead, responseMs);
        } else if (makeRoom(queue, demand)) {
            services.metrics().countHeld();
            entries.put(arriving, queue.add(arriving, demand));
            if (decision == Decision.SEND) {
                drain(service, queue);
            } else {
                scheduleCheck(service, queue);
            }
        } else {
            read(arriving);
            refuse(arriving, queue, "too many wait", ahead, responseMs);
        }
        return true;
    }

    /** Forgets a request that has ended while it waited. */
    void remove(HeldRequest ended) {
        OverloadQueue.Entry<HeldRequest> entry = entries.remove(ended);
        if (entry != null) {
            queues.get(ended.request().service()).remove(entry);
        }
    }

    private void read(HeldRequest each) {
        reader.read(each.request().query(each.placement().regions(), Set.of(), nowMs()), occupancy);
    }

    private static OverloadQueue.Demand demand(RoutedRequest request) {
        // The check that ends a wait may be late by the interval of checks.
        long waitMs = Math.max(0, request.route().targetLatencyMs() / TARGET_DIVISOR - CHECK_MS);
        return new OverloadQueue.Demand(
                request.account().map(AccountEntry::name).orElse(""),
                request.enginePriority(),
                request.prompt().tokens() + request.outputTokens(),
                request.body().length,
                request.receivedMs() + waitMs);
    }

    /** Returns the time from sending to the response, or to the first event of a stream; 0 if it is not known. */
    private double responseMs(RoutedRequest request) {
        if (!request.route().streaming()) {
            return occupancy.responseMs();
        }
        Upstream upstream = reader.leastLoaded();
        if (upstream == null
                || request.prompt().isEmpty()
                || !upstream.engine().estimator().service().isLearned()) {
            return 0;
        }
        EngineState engine = upstream.engine();
        int tokens = engine.uncachedTokens(request.prompt(), request.prompt().sharedPrefixHash(), nowMs());
        return engine.estimate(tokens, upstream.entry().slots(), nowMs()).firstEventMs();
    }

    /** Refuses waiting requests that are last in order until another one fits; returns whether it does. */
    private boolean makeRoom(OverloadQueue<HeldRequest> queue, OverloadQueue.Demand demand) {
        while (!queue.fits(demand)) {
            Optional<OverloadQueue.Entry<HeldRequest>> last = queue.lastBehind(demand);
            if (last.isEmpty()) {
                return false;
            }
            HeldRequest displaced = last.get().request();
            remove(displaced);
            read(displaced);
            refuse(displaced, queue, "displaced", queue.count(), responseMs(displaced.request()));
        }
        return true;
    }

    private void refuse(
            HeldRequest refused, OverloadQueue<HeldRequest> queue, String decision, int ahead, double responseMs) {
        services.metrics().countOverloadRefusal();
        OverloadBasis basis = new OverloadBasis(
                decision,
                occupancy.requestsPerSlot(),
                occupancy.oldestReportMs(),
                queue.count(),
                ahead,
                Math.round(occupancy.waitMs(ahead)),
                Math.round(responseMs),
                refused.request().deadlineMs() - nowMs());
        refused.refuse(basis, occupancy.excessMs(queue.count()));
    }

    /** Sends the waiting requests for which there is room, in order, and decides about those that may wait no longer. */
    private void drain(String service, OverloadQueue<HeldRequest> queue) {
        Set<RegionConstraint> full = new HashSet<>();
        Predicate<HeldRequest> placeable =
                each -> !full.contains(each.placement().regions()) && hasRoom(each, full);
        for (Optional<OverloadQueue.Entry<HeldRequest>> next = queue.next(placeable);
                next.isPresent();
                next = queue.next(placeable)) {
            send(next.get(), queue);
        }
        for (Optional<OverloadQueue.Entry<HeldRequest>> overdue = queue.overdue(nowMs());
                overdue.isPresent();
                overdue = queue.overdue(nowMs())) {
            endWait(overdue.get(), queue);
        }
        scheduleCheck(service, queue);
    }

    private void scheduleCheck(String service, OverloadQueue<HeldRequest> queue) {
        if (queue.count() > 0 && scheduled.add(service)) {
            services.loop().schedule(() -> check(service, queue), CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void check(String service, OverloadQueue<HeldRequest> queue) {
        scheduled.remove(service);
        drain(service, queue);
    }

    private boolean hasRoom(HeldRequest each, Set<RegionConstraint> full) {
        read(each);
        if (occupancy.isOverloaded()) {
            full.add(each.placement().regions());
            return false;
        }
        return true;
    }

    private void endWait(OverloadQueue.Entry<HeldRequest> entry, OverloadQueue<HeldRequest> queue) {
        HeldRequest waiting = entry.request();
        RoutedRequest request = waiting.request();
        read(waiting);
        double responseMs = responseMs(request);
        boolean next = queue.isNext(entry, each -> competes(each, waiting));
        Decision decision = occupancy.decide(0, responseMs, nowMs(), request.deadlineMs(), nowMs());
        if (next && decision == Decision.SEND) {
            send(entry, queue);
        } else {
            int ahead = queue.countAhead(entry.demand().priority()) - 1;
            remove(waiting);
            refuse(waiting, queue, next ? "cannot be answered in time" : "others are ahead", ahead, responseMs);
        }
    }

    /** Returns whether two requests could be sent to the same upstreams. */
    private static boolean competes(HeldRequest one, HeldRequest other) {
        return one.placement()
                .regions()
                .and(other.placement().regions())
                .allowed()
                .map(regions -> !regions.isEmpty())
                .orElse(true);
    }

    private void send(OverloadQueue.Entry<HeldRequest> entry, OverloadQueue<HeldRequest> queue) {
        HeldRequest sent = entry.request();
        queue.removeSent(entry);
        entries.remove(sent);
        services.metrics().recordOverloadWait(nowMs() - sent.request().receivedMs());
        sent.send();
    }

    private long nowMs() {
        return services.timeSource().monotonicMs();
    }
}
