package org.cranberrybend.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.function.Supplier;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;

/** Creates the servers of an instance with their shares of memory and descriptors, and their metrics. */
final class ServerFactory {
    private final EventLoopGroup loop;
    private final TimeSource timeSource;
    private final EntrySettings settings;
    private final MetricRegistry metrics;
    private final DecisionLog log;

    ServerFactory(
            EventLoopGroup loop,
            TimeSource timeSource,
            EntrySettings settings,
            MetricRegistry metrics,
            DecisionLog log) {
        this.loop = loop;
        this.timeSource = timeSource;
        this.settings = settings;
        this.metrics = metrics;
        this.log = log;
    }

    HttpServer create(ServerShare share, RequestHandler handler, Supplier<ServerLimits> limits) {
        HttpServer server =
                new HttpServer(loop, timeSource, handler, limits, share.memory().limit(settings.memoryMb()), log);
        server.setMaxConnections(share.maxConnections(settings.maxDescriptors()));
        String prefix = share.metricPrefix();
        metrics.gauge(prefix + "_memory_bytes", () -> () -> server.memory().usedBytes());
        metrics.gauge(
                prefix + "_memory_limit_bytes", () -> () -> server.memory().limitBytes());
        metrics.gauge(prefix + "_refusals", () -> server::refusals);
        metrics.gauge(prefix + "_connections_closed_for_others", () -> server::reclaimedConnections);
        return server;
    }
}
