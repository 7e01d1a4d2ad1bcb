package org.cranberrybend.router.dispatch;

import java.util.function.BooleanSupplier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.error.RequestFailedException;

/** Grants slots of upstreams, from this router's own queues or from the routers that own the shards. */
public interface SlotBroker {
    /**
     * Waits for a slot of the request's service in a zone. Each grant must be released.
     *
     * @param callerGone asked repeatedly while waiting, without locks; once true, the request is withdrawn
     * @throws RequestFailedException with run state {@code not_run} if the request was refused, shed or withdrawn
     * @throws InterruptedException if the router is stopped
     */
    SlotGrant acquire(QueuedRequest request, String zone, BooleanSupplier callerGone)
            throws RequestFailedException, InterruptedException;

    /** Gives a slot back with a report of its use. */
    void release(SlotGrant grant, SlotOutcome outcome);
}
