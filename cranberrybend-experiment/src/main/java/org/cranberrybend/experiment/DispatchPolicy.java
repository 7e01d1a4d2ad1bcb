package org.cranberrybend.experiment;

import java.util.List;
import java.util.OptionalLong;
import org.cranberrybend.core.admission.SlotOutcome;

/** A way to decide which request is sent to which engine and when. */
interface DispatchPolicy {
    /** What a policy may do with a request. */
    interface Actions {
        /** Sends a waiting request to an engine. */
        void send(SimRequest request, EngineModel engine, long nowMs);

        /** Refuses a waiting request, which was not run. */
        void refuse(SimRequest request);
    }

    /** Takes a request that arrived, or that failed and may be sent again. */
    void offer(SimRequest request, long nowMs);

    /** Learns that a sent request ended. */
    void ended(SimRequest request, EngineModel engine, SlotOutcome outcome, long nowMs);

    /** Learns that the caller of a waiting request has gone. */
    void withdrawn(SimRequest request, long nowMs);

    /** Learns the list of upstreams, which lags. */
    void announced(List<EngineModel> engines, long nowMs);

    /** Acts on the passing of time. */
    void act(long nowMs);

    /** Returns when {@link #act} must be called at the latest. */
    OptionalLong nextDispatchMs(long nowMs);
}
