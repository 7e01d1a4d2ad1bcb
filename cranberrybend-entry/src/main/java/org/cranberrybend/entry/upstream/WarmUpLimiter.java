package org.cranberrybend.entry.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.rateshare.RateSlots;
import org.cranberrybend.core.rateshare.SenderRequirement;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.rateshare.SliceRate;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.log.DecisionLog;

/**
 * Limits the requests to upstreams that are warming up, and lets them rise over a ramp afterwards. Upstreams of services
 * without a warm-up phase are not limited, whatever their entries state. Confined to the event loop.
 */
public final class WarmUpLimiter implements SendLimiter {
    /** Time after the warm-up over which the instances, and the requests of each in progress, rise to their full number. */
    static final long RAMP_MS = 1_000;

    /** The warm-up phase of a service; without a rate, no request may be sent during it. */
    private record Phase(long durationMs, Optional<SliceRate> rate) {}

    private final RateSlots slots;
    private final double overshoot;
    private final double slack;
    private final DecisionLog log;
    private Map<String, Phase> phases = Map.of();
    private long sent;

    /**
     * Creates a limiter that knows no service yet.
     *
     * @param overshoot factor by which the bound on requests in a second exceeds the rate of a service
     * @param slack requests added to the bound
     */
    public WarmUpLimiter(String instance, SenderRoster roster, double overshoot, double slack, DecisionLog log) {
        this.slots = new RateSlots(instance, roster, SenderRequirement.SETTLED);
        this.overshoot = overshoot;
        this.slack = slack;
        this.log = log;
    }

    /** Applies the warm-up phases of the services of a configuration. */
    public void configure(RoutingConfiguration configuration) {
        Map<String, Phase> next = new HashMap<>();
        for (ServiceDefinition service : configuration.services()) {
            service.warmUp()
                    .ifPresent(warmUp -> next.put(
                            service.name(),
                            new Phase(warmUp.durationMs(), SliceRate.within(warmUp.requestsPerS(), overshoot, slack))));
        }
        phases = next;
    }

    /** Returns the duration of the warm-up of a service's upstreams, in milliseconds; 0 if they need none. */
    public long durationMs(String service) {
        Phase phase = phases.get(service);
        return phase == null ? 0 : phase.durationMs();
    }

    @Override
    public Exclusion reason() {
        return Exclusion.WARMING_UP;
    }

    /** Returns whether an upstream is warming up, so that its requests are limited. */
    @Override
    public boolean isLimiting(Upstream upstream, long nowMs) {
        return nowMs < upstream.warmUpEndMs()
                && phases.containsKey(upstream.entry().service());
    }

    @Override
    public boolean admits(Upstream upstream, long nowMs) {
        long elapsedMs = nowMs - upstream.warmUpEndMs();
        if (elapsedMs >= RAMP_MS) {
            return true;
        }
        Phase phase = phases.get(upstream.entry().service());
        if (phase == null) {
            return true;
        }
        String id = upstream.entry().id();
        if (elapsedMs < 0) {
            return phase.rate().isPresent() && slots.isFree(id, phase.rate().get(), nowMs);
        }
        return upstream.running() < 1 + upstream.entry().slots() * elapsedMs / RAMP_MS
                && slots.isAdmittedInRamp(id, elapsedMs / (double) RAMP_MS, nowMs);
    }

    /**
     * Returns the monotonic time from which an upstream may receive a request that is not admitted now: the next slot of
     * this instance, or the end of the warm-up.
     */
    @Override
    public long admissionMs(Upstream upstream, long nowMs) {
        Phase phase = phases.get(upstream.entry().service());
        if (phase == null || !isLimiting(upstream, nowMs)) {
            return nowMs;
        }
        OptionalLong slotMs = phase.rate().isEmpty()
                ? OptionalLong.empty()
                : slots.nextFreeMs(upstream.entry().id(), phase.rate().get(), nowMs);
        return Math.min(upstream.warmUpEndMs(), Math.max(nowMs, slotMs.orElse(Long.MAX_VALUE)));
    }

    /**
     * Records that no process listens at the address of an upstream. Its successor may use the same address and
     * identifier and is cold before its entry can say so, and an entry of the process that has ended says nothing of it.
     * The upstream therefore counts as warming up for the whole phase, from the last refused connection.
     */
    public void recordRefusedConnection(Upstream upstream, long nowMs) {
        assumeWarmUp(upstream, Long.MAX_VALUE, "refused connection", nowMs);
    }

    /** Assumes a warm-up for the whole phase, unless an entry after the given revision says otherwise. */
    void assumeWarmUp(Upstream upstream, long revision, String cause, long nowMs) {
        long durationMs = durationMs(upstream.entry().service());
        if (durationMs == 0) {
            return;
        }
        boolean wasWarmingUp = isLimiting(upstream, nowMs);
        upstream.assumeWarmUp(durationMs, revision, nowMs);
        if (!wasWarmingUp) {
            UpstreamRecord entry = upstream.entry();
            log.record(
                    EventCode.UPSTREAM_WARMING_UP,
                    entry.id(),
                    "service",
                    entry.service(),
                    "remaining_ms",
                    durationMs,
                    "cause",
                    cause);
        }
    }

    @Override
    public boolean tryReserve(Upstream upstream, long nowMs) {
        Optional<SliceRate> rate = rateInForce(upstream, nowMs);
        return rate.isPresent() && slots.tryReserve(upstream.entry().id(), rate.get(), nowMs);
    }

    @Override
    public boolean trySend(Upstream upstream, boolean reserved, long nowMs) {
        Optional<SliceRate> rate = rateInForce(upstream, nowMs);
        if (rate.isPresent() && slots.tryTake(upstream.entry().id(), rate.get(), reserved, nowMs)) {
            sent++;
            return true;
        }
        if (reserved) {
            release(upstream);
        }
        return !isLimiting(upstream, nowMs);
    }

    @Override
    public void release(Upstream upstream) {
        slots.release(upstream.entry().id());
    }

    private Optional<SliceRate> rateInForce(Upstream upstream, long nowMs) {
        return isLimiting(upstream, nowMs)
                ? phases.get(upstream.entry().service()).rate()
                : Optional.empty();
    }

    /** Returns the number of requests that this instance has sent to upstreams during their warm-up. */
    public long sentCount() {
        return sent;
    }
}
