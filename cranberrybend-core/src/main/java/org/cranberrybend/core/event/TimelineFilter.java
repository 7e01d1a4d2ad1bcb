package org.cranberrybend.core.event;

import org.cranberrybend.core.error.Severity;

/**
 * Filter for timeline entries. An empty string or zero disables the respective criterion.
 *
 * @param subject identifier of a request, order, lease, member or upstream
 * @param account client account in the event's fields
 * @param zone availability zone of the process
 * @param memberId process, {@code instance/role}
 * @param sinceMs earliest time in milliseconds since the epoch
 * @param severityMin name of the minimum severity, such as {@code WARNING}
 */
public record TimelineFilter(
        String subject, String account, String zone, String memberId, long sinceMs, String severityMin) {
    /** Filter that accepts every entry. */
    public static final TimelineFilter ALL = new TimelineFilter("", "", "", "", 0, "");

    /** Returns whether the entry meets all criteria. */
    public boolean accepts(TimelineEntry entry) {
        return matches(subject, entry.subject())
                && matches(account, entry.fields().getOrDefault("account", ""))
                && matches(zone, entry.zone())
                && matches(memberId, entry.memberId())
                && entry.timestamp().wallMs() >= sinceMs
                && severityRank(entry.severity()) >= severityRank(severityMin);
    }

    private static boolean matches(String wanted, String actual) {
        return wanted.isEmpty() || wanted.equals(actual);
    }

    private static int severityRank(String severity) {
        for (Severity each : Severity.values()) {
            if (each.name().equals(severity)) {
                return each.ordinal();
            }
        }
        return 0;
    }
}
