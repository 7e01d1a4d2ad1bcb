package org.cranberrybend.controller.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.PlatformException;

/** Faults of the calls to one fake of the platform, and actions of others that happen in between. */
public final class CallFaults {
    private final Deque<StoreFault> faults = new ArrayDeque<>();
    private final TreeMap<Integer, Runnable> interruptions = new TreeMap<>();
    private final TreeMap<Integer, Runnable> delays = new TreeMap<>();
    private boolean down;
    private int calls;

    /** Lets the next calls fail, one fault per call. */
    public void failNext(List<StoreFault> next) {
        faults.addAll(next);
    }

    /** Runs an action before the call that is {@code callsAhead} calls away; 0 is the next one. */
    public void interrupt(int callsAhead, Runnable action) {
        interruptions.put(calls + callsAhead, action);
    }

    /** Runs an action after the effect and before the response of the call that is {@code callsAhead} calls away. */
    public void delayResponse(int callsAhead, Runnable action) {
        delays.put(calls + callsAhead, action);
    }

    /** Starts or ends an outage. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Ends all faults. */
    public void heal() {
        down = false;
        faults.clear();
        interruptions.clear();
        delays.clear();
    }

    /** Called before a call takes effect. */
    Call before(String name) throws PlatformException {
        int call = calls++;
        run(interruptions.remove(call));
        StoreFault fault = faults.isEmpty() ? StoreFault.NONE : faults.removeFirst();
        if (down || fault == StoreFault.NOT_REACHED) {
            throw new PlatformException(name + ": no response", CallOutcome.UNKNOWN);
        }
        if (fault == StoreFault.REFUSED) {
            throw new PlatformException(name + ": over the rate", CallOutcome.NOT_ACCEPTED);
        }
        return new Call(name, fault, delays.remove(call));
    }

    private static void run(Runnable action) {
        if (action != null) {
            action.run();
        }
    }

    /** A call that took effect. */
    record Call(String name, StoreFault fault, Runnable delay) {
        /** Called after the effect and before the response. */
        void respond() throws PlatformException {
            CallFaults.run(delay);
            if (fault == StoreFault.LOST_RESPONSE) {
                throw new PlatformException(name + ": response lost", CallOutcome.UNKNOWN);
            }
        }
    }
}
