package org.cranberrybend.controller.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.schedule.Backoff;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.schedule.PeriodicTask;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.InstanceList;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.PlatformInstance;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Reads the instance list of the platform while this controller is one of the two active controllers of its zone.
 *
 * <p>Confined to one thread.
 */
public final class InstanceListPoller implements PeriodicTask.Step {
    private final InstanceList instanceList;
    private final UpstreamSource upstreamSource;
    private final ControllerRanking ranking;
    private final Backoff backoff;
    private final TimeSource time;
    private final EventLog events;
    private final long periodMs;

    /** Creates a poller that reads the list every {@code periodMs} milliseconds. */
    public InstanceListPoller(
            InstanceList instanceList,
            UpstreamSource upstreamSource,
            ControllerRanking ranking,
            Backoff backoff,
            TimeSource time,
            EventLog events,
            long periodMs) {
        this.instanceList = instanceList;
        this.upstreamSource = upstreamSource;
        this.ranking = ranking;
        this.backoff = backoff;
        this.time = time;
        this.events = events;
        this.periodMs = periodMs;
    }

    @Override
    public long run() {
        if (!ranking.isActive()) {
            return periodMs;
        }
        // The time is taken before the call, so that a delayed response does not replace a newer list.
        long readAtMs = time.wallMs();
        try {
            List<Upstream> upstreams = instanceList.instances().stream()
                    .map(PlatformInstance::toUpstream)
                    .flatMap(Optional::stream)
                    .toList();
            upstreamSource.offerUpstreams(upstreams, readAtMs);
            if (backoff.isFailing()) {
                backoff.reset();
                events.record(EventCode.STORE_AVAILABLE, "instances", Map.of("upstreams", upstreams.size()));
            }
            return periodMs;
        } catch (PlatformException e) {
            if (!backoff.isFailing()) {
                events.record(
                        EventCode.STORE_UNAVAILABLE, "instances", Map.of("reason", String.valueOf(e.getMessage())));
            }
            return backoff.nextDelayMs();
        }
    }
}
