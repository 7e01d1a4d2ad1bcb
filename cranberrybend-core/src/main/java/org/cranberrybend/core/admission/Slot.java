package org.cranberrybend.core.admission;

/**
 * A slot in use.
 *
 * @param grant grant of the slot, or null for a slot restored from an entry router's report
 * @param inUse identifiers of the slot
 * @param request request that uses it, or null if restored
 * @param guaranteed whether it is its class's guaranteed slot
 * @param chargedTokens tokens charged on dispatch
 * @param predictedFirstTokenMs predicted time to the first token in milliseconds, or NaN
 * @param grantedMs when it was granted
 * @param expectedMs expected duration of its use in milliseconds; 0 if unknown
 * @param reclaimMs when it is taken back because its release was lost
 */
record Slot(
        SlotGrant grant,
        SlotInUse inUse,
        QueuedRequest request,
        boolean guaranteed,
        long chargedTokens,
        double predictedFirstTokenMs,
        long grantedMs,
        double expectedMs,
        long reclaimMs) {}
