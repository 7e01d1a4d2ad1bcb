package org.cranberrybend.router;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;

/** A minimal engine and plain service on HttpCore's server, with deterministic responses. */
public final class FakeUpstream implements AutoCloseable {
    public static final int TOKENS = 4;

    public final List<String> received = new CopyOnWriteArrayList<>();
    public final AtomicInteger runs = new AtomicInteger();
    /** Number of tokens after which a stream ends prematurely; negative for never. */
    public volatile int cutAfterTokens = -1;
    /** Number of tokens that a resumed stream skips. */
    public volatile int skipOnResume;
    /** Rejects requests with status 503 and X-Not-Run. */
    public volatile boolean rejecting;
    /** Rejections also carry X-Leaving. */
    public volatile boolean leaving;
    /** Executes the request and closes the connection without a response. */
    public volatile boolean losingResponse;
    /** Request identifier returned instead of the correct one; null for none. */
    public volatile String wrongRequestId;
    /** Delays every response, or every stream after each token, until it is counted down. */
    public volatile CountDownLatch hold = new CountDownLatch(0);
    /** Counted down when a write of a stream to the router fails. */
    public final CountDownLatch cancelled = new CountDownLatch(1);

    private final String id;
    private final HttpServer server;

    public FakeUpstream(String id) throws IOException {
        this.id = id;
        this.server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setExceptionListener(new org.apache.hc.core5.http.ExceptionListener() {
                    @Override
                    public void onError(Exception failure) {
                        // Tests close connections on purpose.
                    }

                    @Override
                    public void onError(org.apache.hc.core5.http.HttpConnection connection, Exception failure) {
                        // Tests close connections on purpose.
                    }
                })
                .setRequestRouter((request, context) -> this::handle)
                .create();
        server.start();
    }

    public Upstream upstream(String service, String zone, String region, int slots) {
        UpstreamKind kind = service.startsWith("model") ? UpstreamKind.ENGINE : UpstreamKind.SERVICE;
        return new Upstream(
                id,
                zone,
                region,
                server.getInetAddress().getHostAddress(),
                server.getLocalPort(),
                kind,
                Set.of(service),
                slots,
                Market.GUARANTEED,
                false,
                false);
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        StringBuilder text = new StringBuilder(request.getMethod() + " " + request.getRequestUri() + "\n");
        for (Header header : request.getHeaders()) {
            text.append(header.getName()).append(": ").append(header.getValue()).append('\n');
        }
        byte[] body = request.getEntity() == null
                ? new byte[0]
                : request.getEntity().getContent().readAllBytes();
        String bodyText = new String(body, StandardCharsets.UTF_8);
        received.add(text + "\n" + bodyText);
        response.setHeader(
                "X-Request-Id",
                wrongRequestId != null
                        ? wrongRequestId
                        : request.getFirstHeader("X-Request-Id").getValue());
        if (rejecting) {
            response.setCode(503);
            response.setHeader("X-Not-Run", "true");
            response.setHeader("X-Leaving", String.valueOf(leaving));
            return;
        }
        runs.incrementAndGet();
        if (losingResponse) {
            throw new IOException("response lost");
        }
        response.setCode(200);
        if (!request.getRequestUri().startsWith("/v1/")) {
            await();
            response.setEntity(new StringEntity("run " + runs.get() + " on " + id, ContentType.TEXT_PLAIN));
            return;
        }
        JsonNode json = CanonicalJson.mapper().readTree(bodyText);
        if (json.path("stream").asBoolean()) {
            int from = json.path("resume_from").asInt(0);
            response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, out -> stream(out, from)));
        } else {
            await();
            response.setEntity(new StringEntity(
                    "{\"choices\":[{\"message\":{\"content\":\"t1t2t3t4\"}}],"
                            + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":4}}",
                    ContentType.APPLICATION_JSON));
        }
    }

    private void stream(OutputStream out, int from) throws IOException {
        int sent = 0;
        int first = from == 0 ? 0 : from + skipOnResume;
        try {
            for (int token = first + 1; token <= TOKENS; token++) {
                if (sent++ == cutAfterTokens) {
                    return;
                }
                event(out, "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" + token + "\"}}]}");
                await();
            }
            if (sent == cutAfterTokens) {
                return;
            }
            event(
                    out,
                    "{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
                            + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":4}}");
            event(out, "[DONE]");
        } catch (IOException e) {
            cancelled.countDown();
            throw e;
        }
    }

    private static void event(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void await() throws IOException {
        try {
            if (!hold.await(20, TimeUnit.SECONDS)) {
                throw new IOException("held for too long");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Returns the received requests that contain a text. */
    public List<String> receivedWith(String text) {
        List<String> found = new ArrayList<>();
        received.stream().filter(each -> each.contains(text)).forEach(found::add);
        return found;
    }

    @Override
    public void close() {
        hold.countDown();
        server.close(CloseMode.IMMEDIATE);
    }
}
