package org.cranberrybend.core.admission;

import org.cranberrybend.core.routing.Upstream;

/**
 * Permission to send one request to one upstream.
 *
 * @param slotId identifier of the slot, unique per owner incarnation
 * @param requestId request that may be sent
 * @param upstream upstream to send it to
 * @param ownerMemberId member that granted the slot and expects its release
 */
public record SlotGrant(String slotId, String requestId, Upstream upstream, String ownerMemberId) {}
