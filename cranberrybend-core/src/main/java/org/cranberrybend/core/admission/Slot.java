package org.cranberrybend.core.admission;

/**
 * A slot in use, as tracked by the shard owner.
 *
 * @param grant grant of the slot, or null for a slot restored from an entry router's report
 * @param inUse identifiers of the slot, its request and its upstream
 * @param request request that uses the slot, or null for a restored slot
 * @param guaranteed whether the request used its class's guaranteed slot
 * @param chargedTokens tokens charged on dispatch
 * @param predictedFirstTokenMs predicted time from the grant to the first token in milliseconds, or NaN if unknown
 * @param grantedMs when the slot was granted or restored, in milliseconds
 * @param expectedMs expected duration of its use in milliseconds; 0 if unknown
 * @param reclaimMs when the slot is reclaimed if it was not released, in milliseconds
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
