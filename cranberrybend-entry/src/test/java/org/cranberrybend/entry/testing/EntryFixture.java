package org.cranberrybend.entry.testing;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ServiceDefinition;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.port.StoreChange;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.request.RequestPath;
import org.cranberrybend.entry.request.RequestsInProgress;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.ZoneEvacuations;
import org.cranberrybend.entry.usage.SteadyWallClock;
import org.cranberrybend.entry.usage.UsageCounter;

/** The request path of an entry instance on loopback, with routes of each kind and scripted upstreams. */
public final class EntryFixture implements AutoCloseable {
    /** Header names that the tests use. */
    public static final HeaderNames NAMES = new HeaderNames(
            "Attempt",
            "Signature",
            "Meant-For",
            "Not-Run",
            "Deadline",
            "Account",
            "Urgency",
            "Model",
            "Tokens",
            "Prompt",
            "Load",
            "Leaving",
            "Limit",
            "Last-Event-Id",
            Set.of("authorization", "meant-for", "account", "deadline", "urgency"));

    private static final ServerLimits LIMITS = new ServerLimits(8_192, 100_000, 2_000, 10_000);
    private static final String PREFIX = "upstreams/";
    private static final ServiceDefinition.WarmUp WARM_UP = new ServiceDefinition.WarmUp(3_000, 9.5);

    /** Memory for responses that have not been passed on. */
    public static final long RESPONSE_MEMORY_BYTES = 4 * 1024 * 1024;

    private static final long LOG_WAIT_S = 5;
    /** Longer than a request waits for the first list of upstreams. */
    private static final long STARTUP_WAIT_MS = 400;

    /** More than any test lasts. */
    private static final long LONG_TEST_MS = 600_000;
    /** Time for which the request path has run when a test begins: a process may use its retry allowance only later. */
    private static final long UPTIME_MS = 10_000;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile long clockOffsetMs;
    private final TimeSource timeSource = new TimeSource() {
        @Override
        public long wallMs() {
            return TimeSource.system().wallMs() + clockOffsetMs;
        }

        @Override
        public long monotonicMs() {
            return TimeSource.system().monotonicMs() + clockOffsetMs;
        }
    };
    private final List<StoreItem> items = new ArrayList<>();
    private final UpstreamTable table;
    private final ZoneEvacuations evacuations;
    private final MetricRegistry metrics = new MetricRegistry();
    private final QuarantineService quarantine;
    private final MessageMemoryLimit responseMemory = new MessageMemoryLimit(RESPONSE_MEMORY_BYTES);
    private final RequestsInProgress requests;
    private final ConfigurationHolder configuration;
    private RoutingConfiguration offered = configuration();
    private final RequestHandler handler;
    private final SenderRoster roster = new SenderRoster();
    private final WarmUpLimiter warmUp;
    private final HttpServer server;
    private final UsageCounter usage = new UsageCounter(3_600_000, new SteadyWallClock(timeSource));
    private final int port;

    /** Starts the request path; the given upstreams are listed for the service {@code work} in their order. */
    public EntryFixture(ScriptedUpstream... upstreams) throws Exception {
        this(true, upstreams);
    }

    /** Starts the request path of an instance that knows no upstreams until {@link #listUpstreams}. */
    public static EntryFixture starting(ScriptedUpstream... upstreams) throws Exception {
        return new EntryFixture(false, upstreams);
    }

    private EntryFixture(boolean listed, ScriptedUpstream... upstreams) throws Exception {
        DecisionLog log = new DecisionLog("instance", 1, timeSource, logOutput);
        log.start();
        configuration = new ConfigurationHolder((name, value) -> offered, log);
        configuration.offer("test", new byte[0]);
        HttpConnector connector = new HttpConnector(loop, responseMemory);
        table = new UpstreamTable(PREFIX, EntryFixture::record, connector, timeSource, log);
        evacuations = new ZoneEvacuations(log);
        for (ScriptedUpstream upstream : upstreams) {
            String id = "u" + items.size();
            items.add(new StoreItem(
                    PREFIX + id, Integer.toString(upstream.port()).getBytes(StandardCharsets.UTF_8), 1, 1, 0));
        }
        if (listed) {
            table.onSnapshot(new StoreSnapshot(items, 1), 0);
        }
        quarantine = new QuarantineService(loop, new MemoryStore(timeSource), "instance", connector, timeSource, log);
        clockOffsetMs = -UPTIME_MS;
        RequestPath path = new RequestPath(
                settings(),
                loop,
                timeSource,
                NAMES,
                configuration,
                table,
                evacuations,
                quarantine,
                usage,
                log,
                () -> 1,
                roster,
                metrics);
        warmUp = path.warmUp();
        clockOffsetMs = 0;
        requests = path.requests();
        handler = path.handler();
        server = new HttpServer(loop, timeSource, handler, () -> LIMITS, new MessageMemoryLimit(1_000_000), log);
        port = ((InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    private static EntrySettings settings() throws Exception {
        String json = "{\"instance\":\"instance\",\"availability_zone\":\"zone-a\",\"region\":\"region-a\","
                + "\"regions_by_zone\":{\"zone-a\":\"region-a\",\"zone-b\":\"region-b\"},\"listen\":{\"callers\":\"127.0.0.1:1\","
                + "\"readiness\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:1\","
                + "\"metrics\":\"127.0.0.1:1\"},\"store\":{\"address\":\"127.0.0.1:1\"},"
                + "\"duties\":{},\"memory_mb\":100,\"shutdown_limit_s\":8,"
                + "\"retry_budget\":{\"ratio\":0.2,\"allowance\":50},\"lease_ms\":3000,"
                + "\"slow_start\":{\"overshoot\":1.5,\"slack\":5},"
                + "\"usage\":{\"window_s\":5,\"due_s\":10}}";
        return EntrySettings.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a configuration with a route of each kind to the service {@code work}. */
    public static RoutingConfiguration configuration() {
        return configuration(1, RegionConstraint.NONE, RegionConstraint.NONE);
    }

    /**
     * Returns a version of the configuration with region constraints.
     *
     * @param ofRoutes constraint of all routes except {@code open}
     * @param ofAccount constraint of the account
     */
    public static RoutingConfiguration configuration(
            long version, RegionConstraint ofRoutes, RegionConstraint ofAccount) {
        List<Route> routes = List.of(
                route("safe", RetryRule.IDEMPOTENT, false, false, 200, ofRoutes),
                route("once", RetryRule.ONCE, false, false, 200, ofRoutes),
                route("stream", RetryRule.RESUMABLE, true, false, 200, ofRoutes),
                route("single", RetryRule.ONCE, true, false, 200, ofRoutes),
                route("slow", RetryRule.RESUMABLE, true, false, 1_000, ofRoutes),
                route("open", RetryRule.IDEMPOTENT, false, true, 200, RegionConstraint.NONE));
        return new RoutingConfiguration(
                version,
                routes,
                List.of(new ServiceDefinition("work", 100, Optional.empty(), Optional.empty(), Optional.of(WARM_UP))),
                Map.of("good-key", new AccountEntry("alpha", AccountEntry.ROUTE_PRIORITY, ofAccount)),
                true,
                LIMITS);
    }

    private static Route route(
            String name,
            RetryRule rule,
            boolean streaming,
            boolean open,
            long eventGapTargetMs,
            RegionConstraint regions) {
        return new Route(
                name,
                "site.example",
                "/" + name + "/",
                rule,
                streaming,
                30_000,
                500,
                eventGapTargetMs,
                1,
                List.of(new Route.Target("work", 1)),
                2,
                open,
                regions);
    }

    /**
     * Returns the entry of an upstream of the service {@code work}; the value is its port, and optionally its zone and
     * the remaining warm-up time, separated by spaces.
     */
    public static UpstreamRecord record(String id, byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split(" ");
        int port = Integer.parseInt(fields[0]);
        return new UpstreamRecord(
                id,
                "work",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                fields.length > 1 ? fields[1] : "zone-a",
                8,
                false,
                Market.GUARANTEED,
                1,
                fields.length < 3 ? 0 : Long.parseLong(fields[2]));
    }

    /** Lists the upstreams, and waits for longer than a request waits during a startup. */
    public void listUpstreams() throws Exception {
        onLoop(() -> {
            table.onSnapshot(new StoreSnapshot(items, 1), 0);
            return null;
        });
        loop.schedule(() -> {}, STARTUP_WAIT_MS, TimeUnit.MILLISECONDS).get();
    }

    /** Puts a configuration into force; may be called on the event loop only. */
    public void offer(RoutingConfiguration next) {
        offered = next;
        configuration.offer("test", new byte[0]);
    }

    /** Sets the evacuated zones. */
    public void evacuate(String... zones) throws Exception {
        onLoop(() -> evacuateNow(zones));
    }

    /** Sets the evacuated zones, on the event loop, and returns their revision. */
    public long evacuateNow(String... zones) {
        long revision = evacuations.state().revision() + 1;
        evacuations.offer("test", new ZoneEvacuations.State(Set.of(zones), revision));
        return revision;
    }

    /** Returns the value of a gauge. */
    public long gauge(String name) throws Exception {
        return onLoop(() -> gaugeOnLoop(name));
    }

    /** Returns the value of a gauge; may be called on the event loop only. */
    public long gaugeOnLoop(String name) {
        return ((Number) metrics.getGauges().get(name).getValue()).longValue();
    }

    /** Returns the value of a counter. */
    public long counter(String name) {
        return metrics.counter(name).getCount();
    }

    /** Writes the entry of an upstream in the zone {@code zone-a}. */
    public void addEntry(String id, int upstreamPort) throws Exception {
        addEntry(id, upstreamPort, "zone-a");
    }

    /** Writes the entry of an upstream. */
    public void addEntry(String id, int upstreamPort, String zone) throws Exception {
        onLoop(() -> {
            addEntryOnLoop(id, upstreamPort, zone, 0);
            return null;
        });
    }

    /** Writes the entry of an upstream that is warming up. */
    public void addEntry(String id, int upstreamPort, long warmUpRemainingMs) throws Exception {
        onLoop(() -> {
            addEntryOnLoop(id, upstreamPort, warmUpRemainingMs);
            return null;
        });
    }

    /** Does the same within a task of the event loop. */
    public void addEntryOnLoop(String id, int upstreamPort, long warmUpRemainingMs) {
        addEntryOnLoop(id, upstreamPort, "zone-a", warmUpRemainingMs);
    }

    private void addEntryOnLoop(String id, int upstreamPort, String zone, long warmUpRemainingMs) {
        byte[] value = (upstreamPort + " " + zone + " " + warmUpRemainingMs).getBytes(StandardCharsets.UTF_8);
        table.onChange(new StoreChange(PREFIX + id, 3, Optional.of(new StoreItem(PREFIX + id, value, 3, 3, 0))));
    }

    /** Removes the entry of an upstream, as the store does after missed heartbeats. */
    public void removeEntry(String id) throws Exception {
        onLoop(() -> {
            table.onChange(new StoreChange(PREFIX + id, 2, Optional.empty()));
            return null;
        });
    }

    /** Returns the quarantine of prompt parts, which may be used on the event loop only. */
    public QuarantineService quarantine() {
        return quarantine;
    }

    /** Waits until the log contains a text; returns whether it appeared in time. */
    public boolean awaitLog(String text) {
        return awaitLog(text, 1);
    }

    /** Waits until the log contains a text the given number of times; returns whether it did in time. */
    public boolean awaitLog(String text, int times) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOG_WAIT_S);
        while (logOutput.toString(StandardCharsets.UTF_8).split(Pattern.quote(text), -1).length <= times) {
            if (System.nanoTime() > endNs) {
                return false;
            }
            Thread.onSpinWait();
        }
        return true;
    }

    /** Waits until a condition holds on the event loop; returns whether it did in time. */
    public boolean awaitOnLoop(Callable<Boolean> condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOG_WAIT_S);
        while (!onLoop(condition)) {
            if (System.nanoTime() > endNs) {
                return false;
            }
            Thread.onSpinWait();
        }
        return true;
    }

    /** Returns what was logged so far. */
    public String log() {
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    /** Returns a new connection of a caller. */
    public RawCaller caller() throws Exception {
        return new RawCaller(port);
    }

    /** Sends requests at the same time, each on a connection of its own, and returns the responses in their order. */
    public List<String> callAtOnce(List<String> requestTexts) throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        for (String text : requestTexts) {
            callers.add(caller().send(text));
        }
        List<String> responses = new ArrayList<>();
        for (RawCaller caller : callers) {
            responses.add(caller.readAll());
            caller.close();
        }
        return responses;
    }

    /** Returns the number of refusals among responses; each must say that the request has not run, and when to return. */
    public static int countRefusals(List<String> responses) {
        int refused = 0;
        for (String response : responses) {
            if (Responses.statusOf(response).equals("503")) {
                assertThat(response).contains("\"run_state\":\"not_run\"");
                assertThat(response).contains("Retry-After: ");
                refused++;
            }
        }
        return refused;
    }

    /** Submits a task to the event loop. */
    public <T> Future<T> later(Callable<T> task) {
        return loop.submit(task);
    }

    /** Runs a task on the event loop and returns its result. */
    public <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Returns the memory for responses, which may be used on the event loop only. */
    public MessageMemoryLimit responseMemory() {
        return responseMemory;
    }

    /** Returns the requests in progress, which may be used on the event loop only. */
    public RequestsInProgress requests() {
        return requests;
    }

    /** Returns the handler of callers' requests, which may be used on the event loop only. */
    public RequestHandler handler() {
        return handler;
    }

    /** Returns the table of upstreams, which may be used on the event loop only. */
    public UpstreamTable table() {
        return table;
    }

    /** Makes this instance the only registered one, for long enough to be a sender until the end of the test. */
    public void settleRoster() throws Exception {
        onLoop(() -> {
            long nowMs = timeSource.monotonicMs();
            for (long ms = -SenderRoster.SETTLE_MS; ms <= LONG_TEST_MS; ms += SenderRoster.MAX_AGE_MS) {
                roster.confirm(Set.of("instance"), nowMs + ms);
            }
            return null;
        });
    }

    /** Returns what limits requests to upstreams that are warming up, which may be used on the event loop only. */
    public WarmUpLimiter warmUp() {
        return warmUp;
    }

    /** Returns the server that serves callers. */
    public HttpServer server() {
        return server;
    }

    /** Returns the number of requests counted for an account. */
    public long counted(String account) throws Exception {
        return onLoop(() -> usage.counts(usage.currentWindow()).getOrDefault(account, 0L));
    }

    /** Returns the text of a request with a valid API key and a prompt of the given parts. */
    public static String promptRequest(String path, String attempt, String promptParts) {
        return request("POST", path, attempt, "prompt")
                .replace("\nDeadline", "\nPrompt: " + promptParts + "\nDeadline");
    }

    /** Returns the text of a request with a valid API key. */
    public static String request(String method, String path, String attempt, String body) {
        return method + " " + path + " HTTP/1.1\nHost: site.example\nAttempt: " + attempt
                + "\nAuthorization: Bearer good-key\nDeadline: 1400\n"
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\n") + "\n" + body;
    }

    /** Returns a request with a valid API key on the route {@code once}. */
    public static ReceivedRequest orderRequest() {
        BasicHttpRequest head = new BasicHttpRequest("POST", "/once/x");
        List<Header> headers = List.of(
                new BasicHeader("Host", "site.example"),
                new BasicHeader("Attempt", "a1"),
                new BasicHeader("Authorization", "Bearer good-key"));
        headers.forEach(head::addHeader);
        long receivedMs = TimeSource.system().monotonicMs();
        return new ReceivedRequest(head, new byte[0], receivedMs);
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
