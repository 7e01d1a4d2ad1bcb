package org.cranberrybend.entry.testing;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.upstream.SendLimits;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;

/** Creates listed upstreams without connections. */
public final class Upstreams {
    private static final String PREFIX = "upstreams/";
    private static final int SLOTS = 16;

    private Upstreams() {}

    /** Returns a limiter that knows no service with a warm-up phase. */
    public static SendLimits unlimited() {
        DecisionLog log = new DecisionLog("instance", 1, new TestClock(), OutputStream.nullOutputStream());
        return new SendLimits(new WarmUpLimiter("instance", new SenderRoster(), 1, 0, log));
    }

    /** Returns an upstream that is listed as ready. */
    public static Upstream listed(String id, String zone) {
        TestClock clock = new TestClock();
        UpstreamTable table = new UpstreamTable(
                PREFIX,
                (name, value) -> new UpstreamRecord(
                        name,
                        "model",
                        new InetSocketAddress("127.0.0.1", 9),
                        new String(value),
                        SLOTS,
                        false,
                        Market.GUARANTEED,
                        1,
                        0),
                Connectors.on(null),
                clock,
                new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream()));
        table.onSnapshot(new StoreSnapshot(List.of(new StoreItem(PREFIX + id, zone.getBytes(), 1, 1, 0)), 1), 0);
        return table.find(id).get();
    }
}
