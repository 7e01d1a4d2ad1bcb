package org.cranberrybend.controller.operator;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Map;
import org.cranberrybend.controller.configuration.ConfigurationFixture;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ConfigurationView.KeyOwner;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorApiTest {
    private static final String TOKEN = "token-of-the-operators";
    private static final KeyHasher HASHER = new KeyHasher("0123456789abcdef");
    private static final String CHANGE = "{'seen_revision':0,'changes':["
            + "{'kind':'template','name':'counter','value':{'request_classes':[{'name':'quick','tier':0,"
            + "'first_token_target_ms':800,'inter_token_target_ms':50,'guaranteed_share_ratio':0.1}],"
            + "'max_concurrent_requests':4}},"
            + "{'kind':'account','name':'north','value':{'template':'counter'}}]}";

    private final FaultyKeyValueStore store = new FaultyKeyValueStore();
    private final FixedMembers members = FixedMembers.alone("a", "szeged-a");
    private final ConfigurationFixture controller =
            new ConfigurationFixture("a", store, new ManualTimeSource(1_000_000));
    private final RequestExplainer explainer = new RequestExplainer(members);
    private final BlockingHttpClient client = new BlockingHttpClient(1_000, 10_000);
    private HttpService http;

    @BeforeEach
    void start() throws ServiceException {
        KeyService keys =
                new KeyService(controller.writer, controller.accepted, HASHER, new SecureRandom(), controller.events);
        OperatorApi operatorApi = new OperatorApi(
                CanonicalJson.digestHex(TOKEN),
                controller.writer,
                controller.accepted,
                keys,
                members,
                explainer,
                () -> Map.of("zone", "szeged-a"),
                () -> Map.of("windows", 0));
        http = new HttpService("127.0.0.1", 0, operatorApi.router());
        http.start();
    }

    @AfterEach
    void stop() {
        client.close();
        http.stop();
        explainer.close();
    }

    private HttpResult call(String method, String path, String body) throws IOException {
        return call(method, path, body, Map.of("Authorization", "Bearer " + TOKEN, "X-Operator", "ana"));
    }

    private HttpResult call(String method, String path, String body, Map<String, String> headers) throws IOException {
        byte[] bytes = body == null ? null : body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return client.call(method, URI.create("http://127.0.0.1:" + http.port() + path), headers, bytes);
    }

    // Guards against endpoints that are accessible without the operator token.
    @ParameterizedTest
    @CsvSource({
        "GET, /v1/configuration",
        "POST, /v1/changes",
        "POST, /v1/accounts/north/keys",
        "DELETE, /v1/accounts/north/keys/k1",
        "GET, /v1/status",
        "GET, /v1/members",
        "GET, /v1/usage",
        "GET, /v1/explain/r1",
    })
    void tokenIsRequired(String method, String path) throws IOException {
        assertThat(call(method, path, null, Map.of()).status()).isEqualTo(401);
        assertThat(call(method, path, null, Map.of("Authorization", "Bearer other"))
                        .status())
                .isEqualTo(401);
    }

    // Guards against wrong HTTP statuses, and against error bodies that do not name the cause.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET    | /v1/configuration             |                                     | 200 | revision",
                "POST   | /v1/changes                   | {'seen_revision':5,'changes':[{'kind':'setting','name':'x',"
                        + "'value':1}]} | 409 | revision_conflict",
                "POST   | /v1/changes                   | {'seen_revision':'a','changes':7,'other':1} | 422"
                        + " | other: unknown field; seen_revision: must be a whole number; changes: must be an array",
                "POST   | /v1/changes                   | {'seen_revision':0,'changes':[{'kind':'x','name':'y'},"
                        + "{'kind':'x','name':'y','value':1}]} | 422 | changes/1/kind: unknown entity kind: x",
                "POST   | /v1/changes                   | not json                            | 400 | not valid JSON",
                "POST   | /v1/accounts/south/keys       |                                     | 404 | south",
                "DELETE | /v1/accounts/north/keys/k9    |                                     | 404 | k9",
                "GET    | /v1/status                    |                                     | 200 | szeged-a",
                "GET    | /v1/members                   |                                     | 200 | a/controller",
                "GET    | /v1/explain/r1                |                                     | 200 | a/controller",
            })
    void responses(String method, String path, String body, int status, String content) throws IOException {
        HttpResult result = call(method, path, body);

        assertThat(result.status()).isEqualTo(status);
        assertThat(result.text()).contains(content);
    }

    // Guards against keys that do not match their stored digest, and against a secret that is stored or logged.
    @Test
    void keyIsShownOnceAndRevoked() throws IOException {
        assertThat(call("POST", "/v1/changes", CHANGE).status()).isEqualTo(200);

        JsonNode issued = call("POST", "/v1/accounts/north/keys", null).json();
        String keyId = issued.path("key_id").asText();
        String key = issued.path("key").asText();

        KeyOwner owner = controller.accepted.view().keyOwner(keyId).orElseThrow();
        assertThat(KeyHasher.keyId(key)).hasValue(keyId);
        assertThat(HASHER.matches(owner.key(), key)).isTrue();
        assertThat(call("GET", "/v1/configuration", null).text()).doesNotContain(key);
        assertThat(controller.events.eventsAfter(0).toString()).doesNotContain(key);

        assertThat(call("DELETE", "/v1/accounts/north/keys/" + keyId, null).status())
                .isEqualTo(200);
        assertThat(controller
                        .accepted
                        .view()
                        .keyOwner(keyId)
                        .orElseThrow()
                        .key()
                        .revoked())
                .isTrue();
    }

    // Guards against a key that stays valid because the key-value store is unavailable.
    @Test
    void revocationDuringAnOutageUsesTheRevocationSet() throws IOException {
        call("POST", "/v1/changes", CHANGE);
        String keyId = call("POST", "/v1/accounts/north/keys", null)
                .json()
                .path("key_id")
                .asText();
        store.faults().setDown(true);

        assertThat(call("DELETE", "/v1/accounts/north/keys/" + keyId, null).status())
                .isEqualTo(202);
        assertThat(controller.accepted.revocations().contains(keyId)).isTrue();
        assertThat(call("POST", "/v1/changes", CHANGE.replace(":0,'ch", ":2,'ch"))
                        .status())
                .isEqualTo(503);
    }
}
