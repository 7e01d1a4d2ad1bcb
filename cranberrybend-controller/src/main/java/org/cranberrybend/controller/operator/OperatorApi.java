package org.cranberrybend.controller.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.cranberrybend.controller.configuration.ConfigurationWriter;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.wire.node.ConfigurationStore;
import org.cranberrybend.wire.node.MemberDirectory;

/** Endpoints of the operator API. Every request requires the operator bearer token. */
public final class OperatorApi {
    private static final String DEFAULT_AUTHOR = "operator";

    private final OperatorAuthentication authentication;
    private final ConfigurationWriter writer;
    private final ConfigurationStore accepted;
    private final KeyService keys;
    private final MemberDirectory members;
    private final RequestExplainer explainer;
    private final Supplier<Map<String, Object>> status;
    private final UsageReader usage;

    /** Handles an authenticated request. */
    @FunctionalInterface
    private interface Endpoint {
        JsonResponse handle(JsonRequest request) throws RequestFailedException, HttpStatusException;
    }

    /** Reads usage windows for the operator API. */
    @FunctionalInterface
    public interface UsageReader {
        /**
         * Returns the most recent windows as JSON fields.
         *
         * @throws RequestFailedException if the key-value store is unavailable
         */
        Map<String, Object> read() throws RequestFailedException;
    }

    /**
     * Creates the API.
     *
     * @param tokenDigestHex SHA-256 digest of the operator token in hexadecimal digits
     * @param status supplies the status of this process for each request
     */
    public OperatorApi(
            String tokenDigestHex,
            ConfigurationWriter writer,
            ConfigurationStore accepted,
            KeyService keys,
            MemberDirectory members,
            RequestExplainer explainer,
            Supplier<Map<String, Object>> status,
            UsageReader usage) {
        this.authentication = new OperatorAuthentication(tokenDigestHex);
        this.writer = writer;
        this.accepted = accepted;
        this.keys = keys;
        this.members = members;
        this.explainer = explainer;
        this.status = status;
        this.usage = usage;
    }

    /** Returns the router of all endpoints. */
    public JsonRouter router() {
        return new JsonRouter()
                .on("GET", "/v1/configuration", authenticated(request -> configuration()))
                .on("POST", "/v1/changes", authenticated(this::change))
                .on("POST", "/v1/accounts/{name}/keys", authenticated(this::issueKey))
                .on("DELETE", "/v1/accounts/{name}/keys/{key_id}", authenticated(this::revokeKey))
                .on("GET", "/v1/status", authenticated(request -> JsonResponse.json(200, status.get())))
                .on("GET", "/v1/members", authenticated(request -> members()))
                .on("GET", "/v1/usage", authenticated(request -> JsonResponse.json(200, usage.read())))
                .on(
                        "GET",
                        "/v1/explain/{request_id}",
                        authenticated(request ->
                                JsonResponse.json(200, explainer.explain(request.pathParameter("request_id")))));
    }

    private JsonRouter.Endpoint authenticated(Endpoint endpoint) {
        return request -> {
            try {
                authentication.check(request);
                return endpoint.handle(request);
            } catch (RequestFailedException e) {
                return error(e);
            }
        };
    }

    private static JsonResponse error(RequestFailedException failure) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", failure.code().wireCode());
        error.put("message", failure.getMessage());
        error.put("run_state", failure.runState().wireName());
        return JsonResponse.json(failure.code().httpStatus(), Map.of("error", error));
    }

    /** Returns the confirmed configuration, or the accepted one while the key-value store is unavailable. */
    private JsonResponse configuration() {
        ConfigurationState state;
        boolean confirmed = true;
        try {
            state = writer.confirmed();
        } catch (RequestFailedException e) {
            state = accepted.state();
            confirmed = false;
        }
        List<Map<String, Object>> entities = new ArrayList<>();
        state.entities()
                .forEach((id, value) ->
                        entities.add(Map.of("kind", id.kind().wireName(), "name", id.name(), "value", value)));
        return JsonResponse.json(
                200,
                Map.of(
                        "revision",
                        state.revision(),
                        "chain_digest",
                        state.chainDigest(),
                        "confirmed",
                        confirmed,
                        "entities",
                        entities));
    }

    private JsonResponse change(JsonRequest request) throws RequestFailedException, HttpStatusException {
        JsonNode body = request.json();
        String author =
                OperatorAuthentication.author(request, body.path("author").asText());
        return JsonResponse.json(200, writer.write(ChangeRequestParser.parse(body, author)));
    }

    private JsonResponse issueKey(JsonRequest request) throws RequestFailedException {
        String author = OperatorAuthentication.author(request, DEFAULT_AUTHOR);
        return JsonResponse.json(201, keys.issue(request.pathParameter("name"), author));
    }

    private JsonResponse revokeKey(JsonRequest request) throws RequestFailedException {
        String author = OperatorAuthentication.author(request, DEFAULT_AUTHOR);
        Revocation revocation = keys.revoke(request.pathParameter("name"), request.pathParameter("key_id"), author);
        return JsonResponse.json(revocation.pending() ? 202 : 200, revocation);
    }

    private JsonResponse members() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Member each : members.members()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("id", each.id());
            fields.put("incarnation", each.identity().incarnation());
            fields.put("zone", each.identity().zone());
            fields.put("region", each.identity().region());
            fields.put("state", each.state().name());
            fields.put("peer_address", each.peerAddress());
            fields.put("admin_address", each.adminAddress());
            list.add(fields);
        }
        return JsonResponse.json(200, list);
    }

    /** Returns the failure of a request whose data cannot be read from the key-value store. */
    public static RequestFailedException storeUnavailable(String reason) {
        return RequestFailedException.notRun(ErrorCode.STORE_UNAVAILABLE, reason);
    }
}
