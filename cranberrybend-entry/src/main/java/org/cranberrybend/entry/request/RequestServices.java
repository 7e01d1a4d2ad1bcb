package org.cranberrybend.entry.request;

import io.netty.channel.EventLoopGroup;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.SendLimits;
import org.cranberrybend.entry.upstream.UpstreamEligibility;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.WithheldUpstreams;
import org.cranberrybend.entry.usage.UsageCounter;

/**
 * The components shared by all requests of a process.
 *
 * @param loop event loop of the process
 * @param timeSource clock
 * @param headerNames names of the headers exchanged with callers and upstreams
 * @param configuration configuration in force
 * @param table listed upstreams
 * @param eligibility decides which upstreams may receive a request
 * @param selector selects the upstream of an attempt
 * @param quarantine relates crashes of upstreams to the prompts that ran there
 * @param budget limits retries
 * @param usage counts requests that upstreams began to execute, by client account
 * @param log decision log
 * @param metrics counters and timers
 * @param requests requests in progress
 * @param waiting requests that wait for upstreams that are paused or limited
 * @param overload holds back or refuses requests while all upstreams are full
 * @param limits limits on the requests of this instance to upstreams
 * @param warmUp limits the requests to upstreams that are warming up
 * @param withheld upstreams that receive no or few requests because of their own statements
 */
record RequestServices(
        EventLoopGroup loop,
        TimeSource timeSource,
        HeaderNames headerNames,
        ConfigurationHolder configuration,
        UpstreamTable table,
        UpstreamEligibility eligibility,
        UpstreamSelector selector,
        QuarantineService quarantine,
        ServiceRetryBudget budget,
        UsageCounter usage,
        DecisionLog log,
        RequestMetrics metrics,
        RequestsInProgress requests,
        WaitingRequests waiting,
        OverloadAdmission overload,
        SendLimits limits,
        WarmUpLimiter warmUp,
        WithheldUpstreams withheld) {}
