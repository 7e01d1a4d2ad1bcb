package org.cranberrybend.core.event;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Merges the events of several processes into one causally ordered timeline, and detects missing events. */
public final class TimelineMerger {
    private TimelineMerger() {}

    /**
     * Missing events of one incarnation of a process, because its ring buffer overflowed or it could not be reached.
     *
     * @param memberId process
     * @param incarnation incarnation of the process
     * @param missing number of missing events
     */
    public record Gap(String memberId, long incarnation, long missing) {}

    private record Run(String memberId, long incarnation) {}

    /** Returns the entries that the filter accepts in causal order, without duplicates. */
    public static List<TimelineEntry> merge(Collection<TimelineEntry> entries, TimelineFilter filter) {
        return entries.stream()
                .distinct()
                .filter(filter::accepts)
                .sorted(TimelineEntry.CAUSAL_ORDER)
                .toList();
    }

    /** Returns the incarnations whose sequence numbers have gaps; sequences start at 1. */
    public static List<Gap> gaps(Collection<TimelineEntry> entries) {
        Map<Run, long[]> countAndLast = new HashMap<>();
        entries.stream().distinct().forEach(entry -> {
            long[] seen =
                    countAndLast.computeIfAbsent(new Run(entry.memberId(), entry.incarnation()), run -> new long[2]);
            seen[0]++;
            seen[1] = Math.max(seen[1], entry.sequence());
        });
        List<Gap> gaps = new ArrayList<>();
        countAndLast.forEach((run, seen) -> {
            if (seen[1] > seen[0]) {
                gaps.add(new Gap(run.memberId(), run.incarnation(), seen[1] - seen[0]));
            }
        });
        return gaps;
    }
}
