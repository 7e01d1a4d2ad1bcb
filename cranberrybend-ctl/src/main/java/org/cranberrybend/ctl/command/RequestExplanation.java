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
 * Selects the events that explain a request: its own events and, from the processes that logged them, the events of its
 * upstreams and those of accepted configurations, store availability, and start and stop of the process. Events other
 * than its own are selected only from shortly before its first event to shortly after its last.
 */
final class RequestExplanation {
    /** Time before the first event of the request from which events of upstreams and processes are selected. */
    private static final long CONTEXT_BEFORE_MS = 10_000;

    private static final long CONTEXT_AFTER_MS = 1_000;
    private static final Set<String> PROCESS_EVENTS = Set.of(
            EventCode.CONFIGURATION_ACCEPTED.name(),
            EventCode.STORE_UNAVAILABLE.name(),
            EventCode.STORE_AVAILABLE.name(),
            EventCode.PROCESS_STARTED.name(),
            EventCode.PROCESS_STOPPING.name());

    private RequestExplanation() {}

    /** Returns the selected events in causal order; empty if the request itself has no events. */
    static List<TimelineEntry> of(String requestId, Collection<TimelineEntry> entries) {
        List<TimelineEntry> own = TimelineMerger.merge(entries, new TimelineFilter(requestId, "", "", "", 0, ""));
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
        long fromMs = own.get(0).timestamp().wallMs() - CONTEXT_BEFORE_MS;
        long untilMs = own.get(own.size() - 1).timestamp().wallMs() + CONTEXT_AFTER_MS;
        List<TimelineEntry> selected = new ArrayList<>(own);
        for (TimelineEntry entry : TimelineMerger.merge(entries, TimelineFilter.ALL)) {
            long wallMs = entry.timestamp().wallMs();
            boolean inTimeRange = wallMs >= fromMs && wallMs <= untilMs && members.contains(entry.memberId());
            if (inTimeRange && (upstreams.contains(entry.subject()) || PROCESS_EVENTS.contains(entry.name()))) {
                selected.add(entry);
            }
        }
        return TimelineMerger.merge(selected, TimelineFilter.ALL);
    }
}
