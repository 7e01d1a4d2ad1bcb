package org.cranberrybend.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Client for the operator API, which every controller serves, and for the admin ports of processes.
 *
 * <p>A read that gets no valid response is retried on the next controller. A write is retried only if the connection
 * was refused, because a write whose response was lost may have taken effect; the operator then has to read the
 * configuration to find out.
 */
public final class ControllerClient implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final long READ_TIMEOUT_MS = 15_000;

    private final Profile profile;
    private final String author;
    private final BlockingHttpClient client = new BlockingHttpClient(CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);

    /** Creates a client that sends the given author with each call. */
    public ControllerClient(Profile profile, String author) {
        this.profile = profile;
        this.author = author;
    }

    /** Returns the author of changes. */
    public String author() {
        return author;
    }

    /** Sends a GET request to a path of the operator API. */
    public JsonNode get(String path) throws CommandException {
        return call("GET", path, null);
    }

    /** Sends a POST request with a JSON body to a path of the operator API. */
    public JsonNode post(String path, Object body) throws CommandException {
        return call("POST", path, CanonicalJson.write(body).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a DELETE request to a path of the operator API. */
    public JsonNode delete(String path) throws CommandException {
        return call("DELETE", path, null);
    }

    /** Sends a GET request to the admin port of a process; the address is {@code host:port}. */
    public HttpResult getAdmin(String adminAddress, String path) throws IOException {
        return client.get(URI.create("http://" + adminAddress + path));
    }

    private JsonNode call(String method, String path, byte[] body) throws CommandException {
        IOException lastFailure = null;
        for (URI controller : profile.controllers()) {
            try {
                return toJson(client.call(method, controller.resolve(path), headers(), body));
            } catch (ConnectException e) {
                lastFailure = e;
            } catch (IOException e) {
                if (!method.equals("GET")) {
                    throw new CommandException(
                            ExitCode.UNREACHABLE,
                            "the outcome of " + method + " " + path + " is not known: " + e.getMessage()
                                    + "; read the configuration before trying again");
                }
                lastFailure = e;
            }
        }
        throw new CommandException(
                ExitCode.UNREACHABLE,
                "no controller can be reached: " + (lastFailure == null ? "" : lastFailure.getMessage()));
    }

    private Map<String, String> headers() {
        return Map.of("Authorization", "Bearer " + profile.operatorToken(), "X-Operator", author);
    }

    private static JsonNode toJson(HttpResult result) throws CommandException, IOException {
        if (result.isSuccess()) {
            return result.body().length == 0 ? CanonicalJson.mapper().createObjectNode() : result.json();
        }
        ExitCode exitCode =
                switch (result.status()) {
                    case 404 -> ExitCode.NOT_FOUND;
                    case 409, 412 -> ExitCode.CONFLICT;
                    case 400, 422 -> ExitCode.INVALID;
                    case 503 -> ExitCode.UNREACHABLE;
                    default -> ExitCode.FAILURE;
                };
        throw new CommandException(exitCode, message(result));
    }

    private static String message(HttpResult result) {
        try {
            JsonNode error = result.json().path("error");
            return error.isObject() ? error.path("message").asText() : error.asText(result.text());
        } catch (IOException e) {
            return "status " + result.status();
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
