package org.cranberrybend.router.dispatch;

import java.util.function.BooleanSupplier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.error.RequestFailedException;

/** Grants slots of upstreams, from this router's own queues or from other shard owners. */
public interface SlotBroker {
    /**
     * Waits for a slot of the request's service in a zone. Each grant must be released.
     *
     * @param callerDisconnected polled while waiting, without locks held; once true, the request is canceled
     * @throws RequestFailedException with run state {@code not_run} if the request was refused, shed or canceled
     * @throws InterruptedException if the router is stopped
     */
    SlotGrant acquire(QueuedRequest request, String zone, BooleanSupplier callerDisconnected)
            throws RequestFailedException, InterruptedException;

    /** Releases a slot and reports the outcome of its use. */
    void release(SlotGrant grant, SlotOutcome outcome);
}
