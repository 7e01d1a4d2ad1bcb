package org.cranberrybend.router;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.dispatch.LocalSlotBroker;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.platform.KeyValueClient;

/** A router on loopback with one client account, two models and five routes. Request identifiers are req-1, req-2... */
public final class RouterHarness implements AutoCloseable {
    public static final String SECRET = "0123456789abcdef-secret";
    public static final String KEY = KeyHasher.keyText("clerk1", "s3cretValue");
    public static final String CHAT =
            "{\"model\":\"model-a\",\"stream\":true,\"messages\":" + "[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final int SOCKET_TIMEOUT_MS = 20_000;

    public final FakeProcess process = new FakeProcess();
    public final EventLog events;
    public final MetricRegistry metrics = new MetricRegistry();
    public final LocalSlotBroker broker;
    public final RouterService router;
    private final AtomicInteger requestNumbers = new AtomicInteger();

    public RouterHarness() throws Exception {
        this("http://127.0.0.1:9", "");
    }

    /** Starts a router; {@code limits} are additional settings, each preceded by a comma. */
    public RouterHarness(String platformUrl, String limits) throws Exception {
        RouterSettings settings = RouterMain.settingsLoader()
                .parse(("{'instance':'entry-1','zone':'zone-a','region':'region-1','host':'127.0.0.1','caller_port':0,"
                                + "'admin_port':0,'peer_port':0,'peers':[],'platform_url':'" + platformUrl
                                + "','key_hash_secret':'" + SECRET + "','drain_notice_ms':0" + limits + "}")
                        .replace('\'', '"'));
        configure(KEY, "clerk1");
        TimeSource timeSource = TimeSource.system();
        events = new EventLog(process.self().identity(), new HybridClock(timeSource));
        broker = new LocalSlotBroker("entry-1/router", process, timeSource);
        router = new RouterService(
                settings,
                new RouterService.Environment(
                        process,
                        process,
                        process,
                        process,
                        broker,
                        new KeyValueClient(URI.create(platformUrl)),
                        events,
                        metrics,
                        timeSource,
                        () -> "req-" + requestNumbers.incrementAndGet(),
                        () -> 0.0));
        router.start();
    }

    private void configure(String key, String keyId) throws Exception {
        String digest = new KeyHasher(SECRET).digestHex(key);
        process.set(EntityKind.MODEL, "model-a", "{'max_output_tokens':1000,'context_tokens':2000}");
        process.set(EntityKind.MODEL, "model-closed", "{'max_output_tokens':1000,'context_tokens':2000}");
        process.set(
                EntityKind.TEMPLATE,
                "desk",
                "{'request_classes':[{'name':'quick','tier':0,'first_token_target_ms':850,"
                        + "'inter_token_target_ms':44,'guaranteed_share_ratio':0.1},{'name':'plan','tier':2,"
                        + "'first_token_target_ms':5000,'inter_token_target_ms':100,'guaranteed_share_ratio':0}],"
                        + "'models':['model-a'],'routes':['orders','stock'],'max_concurrent_requests':4,"
                        + "'tokens_per_minute':0,'weight_ratio':1,'cut_off_serve_seconds':100}");
        process.set(
                EntityKind.ACCOUNT,
                "clerk",
                "{'template':'desk','keys':[{'key_id':'" + keyId + "','digest_hex':'" + digest
                        + "','revoked':false}]}");
        route("orders", "/orders", "'idempotent':false,'idempotency_key_required':false,'open_to_all':false");
        route("stock", "/stock", "'idempotent':true,'idempotency_key_required':false,'open_to_all':false");
        route("closed", "/closed", "'idempotent':true,'idempotency_key_required':false,'open_to_all':false");
        route("open", "/open", "'idempotent':true,'idempotency_key_required':false,'open_to_all':true");
        route("print", "/print", "'idempotent':false,'idempotency_key_required':true,'open_to_all':true");
    }

    private void route(String name, String prefix, String flags) throws Exception {
        process.set(
                EntityKind.ROUTE,
                name,
                "{'path_prefix':'" + prefix + "','service':'svc','methods':['GET','POST']," + flags
                        + ",'timeout_ms':20000,'key_headers':['X-Desk-Key']}");
    }

    /** Returns whether the admin port reports readiness. */
    public boolean isReady() throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + router.adminPort() + "/readyz");
        try (BlockingHttpClient caller = new BlockingHttpClient(SOCKET_TIMEOUT_MS, SOCKET_TIMEOUT_MS)) {
            return caller.get(uri).status() == 200;
        }
    }

    public Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.callerPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        return socket;
    }

    /** Sends raw bytes and returns everything received until the router closes the connection. */
    public String send(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the text of a request with the key and {@code Connection: close}. */
    public static String request(String method, String target, String headers, String body) {
        return method + " " + target + " HTTP/1.1\r\nHost: router\r\nConnection: close\r\nAuthorization: Bearer " + KEY
                + "\r\n" + headers + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n"
                + body;
    }

    /** Returns the names of the events about a subject, in order. */
    public List<String> eventsOf(String subject) {
        return events.eventsAfter(0).stream()
                .filter(each -> each.subject().equals(subject))
                .map(each -> each.code().name())
                .toList();
    }

    /** Waits until an event about a subject was recorded. */
    public void awaitEvent(String subject, EventCode code) {
        await(() -> eventsOf(subject).contains(code.name()));
    }

    /** Waits until a condition holds; the timeout only ends a hanging test. */
    public static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("condition did not become true");
            }
            Thread.onSpinWait();
            Thread.yield();
        }
    }

    @Override
    public void close() {
        router.stop();
    }
}
