package org.cranberrybend.core.event;

import org.cranberrybend.core.error.Severity;

/**
 * Selects entries of the time line. Empty texts and zero numbers select everything.
 *
 * @param subject request, order, lease, member or upstream identifier
 * @param account client account named in the event's fields
 * @param zone availability zone of the process
 * @param memberId process, {@code instance/role}
 * @param sinceMs earliest time in milliseconds since the epoch
 * @param severityMin least severity name, such as {@code WARNING}
 */
public record TimelineFilter(
        String subject, String account, String zone, String memberId, long sinceMs, String severityMin) {
    /** Selects everything. */
    public static final TimelineFilter ALL = new TimelineFilter("", "", "", "", 0, "");

    /** Returns whether the entry is selected. */
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
