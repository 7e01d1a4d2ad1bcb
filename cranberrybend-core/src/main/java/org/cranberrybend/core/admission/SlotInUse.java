package org.cranberrybend.core.admission;

/**
 * A slot in use, as an entry router reports it to a new owner of the shard.
 *
 * @param slotId identifier given by the previous owner
 * @param requestId request that uses the slot
 * @param upstreamId upstream that serves it
 */
public record SlotInUse(String slotId, String requestId, String upstreamId) {}
