package org.cranberrybend.ctl.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.event.TimelineEntry;
import org.cranberrybend.core.event.TimelineFilter;
import org.cranberrybend.core.event.TimelineMerger;

/**
 * Selects what explains one request: its own events, what its instance noted of the upstreams that it was sent to, and
 * the last change of the instance's configuration or of its way to the store before the request ended.
 */
final class RequestStory {
    /** Time before the request's first event from which events of its upstreams are shown. */
    private static final long BEFORE_MS = 10_000;

    private static final long AFTER_MS = 1_000;
    private static final Set<String> BELIEFS = Set.of(
            EventCode.CONFIGURATION_ACCEPTED.name(),
            EventCode.STORE_UNAVAILABLE.name(),
            EventCode.STORE_AVAILABLE.name(),
            EventCode.PROCESS_STARTED.name(),
            EventCode.PROCESS_STOPPING.name());

    private RequestStory() {}

    /** Returns the selected events in causal order; empty if there is none of the request itself. */
    static List<TimelineEntry> of(String request, Collection<TimelineEntry> entries) {
        List<TimelineEntry> own = TimelineMerger.merge(entries, new TimelineFilter(request, "", "", "", 0, ""));
        if (own.isEmpty()) {
            return own;
        }
        Set<String> members = own.stream().map(TimelineEntry::memberId).collect(Collectors.toSet());
        Set<String> upstreams = new HashSet<>();
        for (TimelineEntry entry : own) {
            upstreams.addAll(
                    Arrays.asList(entry.fields().getOrDefault("upstreams", "").split(",")));
            upstreams.add(entry.fields().getOrDefault("upstream", ""));
        }
        upstreams.remove("");
        long fromMs = own.get(0).timestamp().wallMs() - BEFORE_MS;
        long untilMs = own.get(own.size() - 1).timestamp().wallMs() + AFTER_MS;
        List<TimelineEntry> selected = new ArrayList<>(own);
        for (TimelineEntry entry : TimelineMerger.merge(entries, TimelineFilter.ALL)) {
            long wallMs = entry.timestamp().wallMs();
            boolean near = wallMs >= fromMs && wallMs <= untilMs && members.contains(entry.memberId());
            if (near && (upstreams.contains(entry.subject()) || BELIEFS.contains(entry.name()))) {
                selected.add(entry);
            }
        }
        return TimelineMerger.merge(selected, TimelineFilter.ALL);
    }
}
