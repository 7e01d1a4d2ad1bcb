package org.cranberrybend.entry.request;

import io.netty.channel.EventLoopGroup;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.usage.UsageCounter;

/**
 * What every request uses.
 *
 * @param loop event loop of the process
 * @param timeSource clock
 * @param names header names
 * @param table listed upstreams
 * @param selector choice of an upstream
 * @param budget bound of repeats
 * @param usage counts of what ran
 * @param log decision log
 * @param metrics counters and histograms
 */
record RequestServices(
        EventLoopGroup loop,
        TimeSource timeSource,
        HeaderNames names,
        UpstreamTable table,
        UpstreamSelector selector,
        ServiceRetryBudget budget,
        UsageCounter usage,
        DecisionLog log,
        RequestMetrics metrics) {}
