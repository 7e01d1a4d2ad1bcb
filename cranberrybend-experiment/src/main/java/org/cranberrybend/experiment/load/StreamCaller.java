package org.cranberrybend.experiment.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.cranberrybend.core.configuration.CanonicalJson;

/** Sends streaming chat completions and measures the arrival times of their tokens. Thread-safe. */
final class StreamCaller implements AutoCloseable {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(5);
    private static final Timeout READ_TIMEOUT = Timeout.ofSeconds(60);
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE = "[DONE]";

    private final HttpRequester requester;

    StreamCaller(int connections) {
        this.requester = RequesterBootstrap.bootstrap()
                .setSocketConfig(SocketConfig.custom()
                        .setSoTimeout(READ_TIMEOUT)
                        .setTcpNoDelay(true)
                        .build())
                .setMaxTotal(connections)
                .setDefaultMaxPerRoute(connections)
                .create();
    }

    /** Sends a request and reads the stream to its end. */
    StreamSample call(LoadTarget target, LoadPlan plan, String prompt) throws IOException {
        HttpHost host = new HttpHost(
                target.baseUri().getScheme(),
                target.baseUri().getHost(),
                target.baseUri().getPort());
        long sentNs = System.nanoTime();
        try {
            return requester.execute(
                    host,
                    request(target, plan, prompt),
                    CONNECT_TIMEOUT,
                    HttpCoreContext.create(),
                    response -> read(response, sentNs));
        } catch (HttpException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static ClassicHttpRequest request(LoadTarget target, LoadPlan plan, String prompt) {
        String body = CanonicalJson.write(Map.of(
                "model", plan.model(),
                "stream", true,
                "max_tokens", plan.maxTokens(),
                "messages", List.of(Map.of("role", "user", "content", prompt))));
        ClassicRequestBuilder builder = ClassicRequestBuilder.post(
                        target.baseUri().resolve("/v1/chat/completions"))
                .setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
        if (!target.key().isEmpty()) {
            builder.setHeader("Authorization", "Bearer " + target.key());
        }
        return builder.build();
    }

    private static StreamSample read(ClassicHttpResponse response, long sentNs) throws IOException {
        if (response.getCode() != 200) {
            throw new IOException("status " + response.getCode());
        }
        long firstTokenNs = -1;
        long previousNs = 0;
        boolean complete = false;
        List<Long> interTokenNs = new ArrayList<>();
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            long nowNs = System.nanoTime();
            if (line.equals(DATA_PREFIX + DONE)) {
                complete = true;
            } else if (line.startsWith(DATA_PREFIX) && line.contains("\"content\"")) {
                if (firstTokenNs < 0) {
                    firstTokenNs = nowNs - sentNs;
                } else {
                    interTokenNs.add(nowNs - previousNs);
                }
                previousNs = nowNs;
            }
        }
        return new StreamSample(firstTokenNs, interTokenNs, complete);
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }
}
