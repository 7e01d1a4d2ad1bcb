package org.cranberrybend.controller.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;

/** Injects faults into the calls to one fake of the platform, and runs actions of other processes during calls. */
public final class CallFaults {
    private final Deque<CallFault> faults = new ArrayDeque<>();
    private final TreeMap<Integer, Runnable> actionsBeforeCall = new TreeMap<>();
    private final TreeMap<Integer, Runnable> actionsBeforeResponse = new TreeMap<>();
    private boolean down;
    private int calls;

    /** Injects faults into the next calls, one fault per call. */
    public void failNext(List<CallFault> next) {
        faults.addAll(next);
    }

    /** Runs an action before the call that is {@code callsAhead} calls away; 0 is the next one. */
    public void runBeforeCall(int callsAhead, Runnable action) {
        actionsBeforeCall.put(calls + callsAhead, action);
    }

    /** Runs an action after the effect and before the response of the call that is {@code callsAhead} calls away. */
    public void runBeforeResponse(int callsAhead, Runnable action) {
        actionsBeforeResponse.put(calls + callsAhead, action);
    }

    /** Starts or ends an outage. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Removes all faults and actions. */
    public void clear() {
        down = false;
        faults.clear();
        actionsBeforeCall.clear();
        actionsBeforeResponse.clear();
    }

    /** Must be called before the effect of a call. */
    Call before(String name) throws PlatformException {
        int call = calls++;
        run(actionsBeforeCall.remove(call));
        CallFault fault = faults.isEmpty() ? CallFault.NONE : faults.removeFirst();
        if (down || fault == CallFault.NOT_REACHED) {
            throw new PlatformException(name + ": no response", CallOutcome.UNKNOWN);
        }
        if (fault == CallFault.REFUSED) {
            throw new PlatformException(name + ": over the rate", CallOutcome.NOT_ACCEPTED);
        }
        return new Call(name, fault, actionsBeforeResponse.remove(call));
    }

    private static void run(Runnable action) {
        if (action != null) {
            action.run();
        }
    }

    /** A call that takes effect. */
    record Call(String name, CallFault fault, Runnable beforeResponse) {
        /** Must be called after the effect of the call and before its response. */
        void respond() throws PlatformException {
            CallFaults.run(beforeResponse);
            if (fault == CallFault.LOST_RESPONSE) {
                throw new PlatformException(name + ": response lost", CallOutcome.UNKNOWN);
            }
        }
    }
}
