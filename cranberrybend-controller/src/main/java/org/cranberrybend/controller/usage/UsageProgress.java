package org.cranberrybend.controller.usage;

/**
 * Progress of sealing and reporting. Both positions may lag behind the actual state but are never ahead of it.
 *
 * @param firstWindowMs start of the first window to be sealed
 * @param sealedUntilMs end of the last window known to be sealed
 * @param reportedUntilMs end of the last window whose report was accepted
 */
record UsageProgress(long firstWindowMs, long sealedUntilMs, long reportedUntilMs) {
    static UsageProgress startingAt(long windowStartMs) {
        return new UsageProgress(windowStartMs, windowStartMs, windowStartMs);
    }

    UsageProgress withSealedUntil(long endMs) {
        return new UsageProgress(firstWindowMs, Math.max(sealedUntilMs, endMs), reportedUntilMs);
    }

    UsageProgress withReportedUntil(long endMs) {
        return new UsageProgress(firstWindowMs, sealedUntilMs, Math.max(reportedUntilMs, endMs));
    }

    /** Returns the more advanced of the positions of both, and the earlier first window. */
    UsageProgress merge(UsageProgress other) {
        return new UsageProgress(
                Math.min(firstWindowMs, other.firstWindowMs),
                Math.max(sealedUntilMs, other.sealedUntilMs),
                Math.max(reportedUntilMs, other.reportedUntilMs));
    }
}
