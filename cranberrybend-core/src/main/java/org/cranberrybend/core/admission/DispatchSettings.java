package org.cranberrybend.core.admission;

/**
 * Settings of a {@link DispatchQueue}.
 *
 * @param maxWaiting maximum number of waiting requests, not counting those that hold a guaranteed slot
 * @param outputPercentile percentile of recent output lengths that is charged on dispatch, 1 to 99
 * @param refuseOverdue whether a waiting request is refused when its first token is due and it was not dispatched
 * @param refuseEarly whether a request is refused on arrival when its first token is predicted to be late
 * @param reserveDeviations number of standard deviations above the mean demand of higher tiers for which slots are
 *     reserved; negative for no reserve
 * @param slotGraceMs time from a request's deadline until its slot is reclaimed, in milliseconds
 * @param restoredSlotMs time after which a slot restored from an entry router's report is reclaimed, in milliseconds
 */
public record DispatchSettings(
        int maxWaiting,
        int outputPercentile,
        boolean refuseOverdue,
        boolean refuseEarly,
        double reserveDeviations,
        long slotGraceMs,
        long restoredSlotMs) {
    /** Default settings. */
    public static final DispatchSettings DEFAULT = new DispatchSettings(512, 60, true, true, 2, 30_000, 600_000);

    public DispatchSettings {
        if (maxWaiting < 1 || outputPercentile < 1 || outputPercentile > 99) {
            throw new IllegalArgumentException("max_waiting must be at least 1 and output_percentile between 1 and 99: "
                    + maxWaiting + ", " + outputPercentile);
        }
        if (slotGraceMs < 0 || restoredSlotMs < 1) {
            throw new IllegalArgumentException(
                    "slot_grace_ms and restored_slot_ms must be positive: " + slotGraceMs + ", " + restoredSlotMs);
        }
    }

    /** Returns these settings with another maximum number of waiting requests. */
    public DispatchSettings withMaxWaiting(int newMaxWaiting) {
        return new DispatchSettings(
                newMaxWaiting,
                outputPercentile,
                refuseOverdue,
                refuseEarly,
                reserveDeviations,
                slotGraceMs,
                restoredSlotMs);
    }

    /** Returns these settings with other values of {@code refuseEarly} and {@code refuseOverdue}. */
    public DispatchSettings withRefusal(boolean early, boolean overdue) {
        return new DispatchSettings(
                maxWaiting, outputPercentile, overdue, early, reserveDeviations, slotGraceMs, restoredSlotMs);
    }

    /** Returns these settings with another output length percentile. */
    public DispatchSettings withOutputPercentile(int percentile) {
        return new DispatchSettings(
                maxWaiting, percentile, refuseOverdue, refuseEarly, reserveDeviations, slotGraceMs, restoredSlotMs);
    }

    /** Returns these settings with another reserve for higher tiers, see {@code reserveDeviations}. */
    public DispatchSettings withReserveDeviations(double deviations) {
        return new DispatchSettings(
                maxWaiting, outputPercentile, refuseOverdue, refuseEarly, deviations, slotGraceMs, restoredSlotMs);
    }
}
