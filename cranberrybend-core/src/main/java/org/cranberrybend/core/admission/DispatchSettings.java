package org.cranberrybend.core.admission;

/**
 * Settings of a {@link DispatchQueue}.
 *
 * @param maxWaiting bound on waiting requests, not counting those that hold a guaranteed slot
 * @param outputPercentile percentile of recent output lengths that is charged on dispatch, 1 to 99
 * @param refuseOverdue whether a waiting request is refused when its first token can no longer be on time
 * @param refuseEarly whether a request is refused on arrival when its first token is predicted to be late
 * @param reserveDeviations standard deviations of the demand of higher tiers for which free slots are kept back from lower
 *     ones; negative for no reserve
 * @param slotGraceMs time after a request's deadline when its slot is taken back, in milliseconds
 * @param restoredSlotMs time after which a slot restored from an entry router's report is taken back, in milliseconds
 */
public record DispatchSettings(
        int maxWaiting,
        int outputPercentile,
        boolean refuseOverdue,
        boolean refuseEarly,
        double reserveDeviations,
        long slotGraceMs,
        long restoredSlotMs) {
    /** Settings used unless the operators choose others. */
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

    /** Returns these settings with another bound on waiting requests. */
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

    /** Returns these settings with other rules of refusal. */
    public DispatchSettings withRefusal(boolean early, boolean overdue) {
        return new DispatchSettings(
                maxWaiting, outputPercentile, overdue, early, reserveDeviations, slotGraceMs, restoredSlotMs);
    }

    /** Returns these settings with another percentile of output lengths. */
    public DispatchSettings withOutputPercentile(int percentile) {
        return new DispatchSettings(
                maxWaiting, percentile, refuseOverdue, refuseEarly, reserveDeviations, slotGraceMs, restoredSlotMs);
    }

    /** Returns these settings with another reserve for higher tiers. */
    public DispatchSettings withReserveDeviations(double deviations) {
        return new DispatchSettings(
                maxWaiting, outputPercentile, refuseOverdue, refuseEarly, deviations, slotGraceMs, restoredSlotMs);
    }
}
