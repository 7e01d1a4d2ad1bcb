package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.cranberrybend.core.configuration.CanonicalJson;

/** Client side of a streamed completion: reads the server-sent events one at a time. */
public final class EventStream implements Closeable {
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE = "[DONE]";

    private final HttpExchange exchange;
    private final Map<String, String> headers;
    private final BufferedReader reader;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private boolean complete;
    private JsonNode usage;
    private String errorCode = "";

    /**
     * Sends a request and reads the status and headers of the response.
     *
     * @throws IOException if the status is not 200
     */
    public EventStream(String address, String target, Map<String, String> requestHeaders, String body)
            throws IOException {
        exchange = HttpExchange.open(address);
        boolean opened = false;
        try {
            exchange.write(HttpExchange.request("POST", target, requestHeaders, body));
            ClassicHttpResponse response = exchange.head();
            headers = HttpExchange.headers(response);
            reader = new BufferedReader(
                    new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
            if (response.getCode() != 200) {
                throw new IOException("status " + response.getCode() + ": " + reader.readLine());
            }
            opened = true;
        } finally {
            if (!opened) {
                exchange.close();
            }
        }
    }

    /** Reads one event; returns false at the end of the response body. */
    public boolean next() throws IOException {
        String line = reader.readLine();
        while (line != null && !line.startsWith(DATA_PREFIX)) {
            line = reader.readLine();
        }
        if (line == null) {
            return false;
        }
        String data = line.substring(DATA_PREFIX.length());
        if (data.equals(DONE)) {
            complete = true;
            return true;
        }
        JsonNode json = CanonicalJson.mapper().readTree(data);
        JsonNode choice = json.path("choices").path(0);
        String token = choice.path("delta").path("content").asText("")
                + choice.path("text").asText("");
        tokens += token.isEmpty() ? 0 : 1;
        text.append(token);
        usage = json.has("usage") ? json.path("usage") : usage;
        errorCode = json.path("error").path("code").asText(errorCode);
        return true;
    }

    /** Reads until the given number of tokens has arrived or the response body ends. */
    public EventStream readTokens(int count) throws IOException {
        while (tokens < count && next()) {
            // next() records the event.
        }
        return this;
    }

    /** Reads all remaining events. */
    public EventStream readAll() throws IOException {
        while (next()) {
            // next() records the event.
        }
        return this;
    }

    /** Returns a response header by its lower-case name, or an empty string if it is absent. */
    public String header(String lowerCaseName) {
        return headers.getOrDefault(lowerCaseName, "");
    }

    /** Returns the text read so far. */
    public String text() {
        return text.toString();
    }

    /** Returns the number of tokens read so far: the events with generated text. */
    public int tokens() {
        return tokens;
    }

    /** Returns whether the final {@code [DONE]} event was read. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the usage object of the response, or null if it has not been read. */
    public JsonNode usage() {
        return usage;
    }

    /** Returns the code of the error event, or an empty string if there was none. */
    public String errorCode() {
        return errorCode;
    }

    @Override
    public void close() throws IOException {
        exchange.close();
    }
}
