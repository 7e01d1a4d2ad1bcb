package org.cranberrybend.experiment;

import java.util.List;
import java.util.OptionalLong;
import org.cranberrybend.core.admission.SlotOutcome;

/** Decides which request is sent to which engine, and when. */
interface DispatchPolicy {
    /** Operations of the simulation that a policy calls. */
    interface Actions {
        /** Sends a waiting request to an engine. */
        void send(SimRequest request, EngineModel engine, long nowMs);

        /** Refuses a waiting request; it is not sent again. */
        void refuse(SimRequest request);
    }

    /** Adds a request that arrived, or whose last attempt failed and that may be retried. */
    void offer(SimRequest request, long nowMs);

    /** Called when an attempt ended. */
    void onAttemptEnded(SimRequest request, EngineModel engine, SlotOutcome outcome, long nowMs);

    /** Called when the caller of a waiting request disconnected. */
    void onCallerDisconnected(SimRequest request, long nowMs);

    /** Called with a new list of upstreams, which lags behind the actual fleet. */
    void onUpstreamList(List<EngineModel> engines, long nowMs);

    /** Makes the decisions that are due. */
    void dispatch(long nowMs);

    /** Returns the latest time of the next call of {@link #dispatch}, or empty if none is needed. */
    OptionalLong nextDispatchMs(long nowMs);
}
