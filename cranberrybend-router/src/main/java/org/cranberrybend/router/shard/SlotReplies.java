package org.cranberrybend.router.shard;

import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.error.ErrorCode;

/** Receives the owner's answers at the entry router. */
interface SlotReplies {
    /** The request may be sent. */
    void granted(SlotGrant grant);

    /** The owner refused the request. */
    void refused(String requestId, ErrorCode code, long retryAfterMs);

    /** The member that was asked does not own the shard, or no longer does. */
    void moved(String requestId);
}
