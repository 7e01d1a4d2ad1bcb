package org.cranberrybend.controller.usage;

/**
 * How far sealing and reporting have come. Both positions may lag behind the truth, never lead it.
 *
 * @param firstWindowMs start of the first window that is sealed
 * @param sealedUntilMs end of the last window that is known to be sealed
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

    /** Returns the farther position of both. */
    UsageProgress merge(UsageProgress other) {
        return new UsageProgress(
                Math.min(firstWindowMs, other.firstWindowMs),
                Math.max(sealedUntilMs, other.sealedUntilMs),
                Math.max(reportedUntilMs, other.reportedUntilMs));
    }
}
