package org.cranberrybend.controller.testing;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.UsageReports;

/** In-memory receiver of usage reports with fault injection. */
public final class FaultyUsageReports implements UsageReports {
    private final CallFaults faults = new CallFaults();
    private final TreeMap<Long, String> received = new TreeMap<>();
    private final Runnable listener;

    /** Creates a receiver that runs the listener when a report arrives. */
    public FaultyUsageReports(Runnable listener) {
        this.listener = listener;
    }

    /** Returns the fault injection of this fake. */
    public CallFaults faults() {
        return faults;
    }

    /** Returns the received reports by the start of their window. */
    public Map<Long, String> received() {
        return received;
    }

    @Override
    public void put(long windowStartMs, byte[] body) throws PlatformException {
        CallFaults.Call call = faults.before("report");
        String text = new String(body, StandardCharsets.UTF_8);
        String earlier = received.putIfAbsent(windowStartMs, text);
        if (earlier != null && !earlier.equals(text)) {
            throw new AssertionError("window " + windowStartMs + " was reported with two different contents: " + earlier
                    + " and " + text);
        }
        listener.run();
        call.respond();
    }
}
