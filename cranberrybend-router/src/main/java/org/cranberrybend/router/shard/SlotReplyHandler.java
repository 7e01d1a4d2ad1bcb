package org.cranberrybend.router.shard;

import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.error.ErrorCode;

/** Handles the replies of shard owners at the entry router. */
interface SlotReplyHandler {
    /** The request may be sent to the granted upstream. */
    void granted(SlotGrant grant);

    /** The shard owner refused the request. */
    void refused(String requestId, ErrorCode code, long retryAfterMs);

    /** The queried member does not own the shard, or no longer does. */
    void moved(String requestId);
}
