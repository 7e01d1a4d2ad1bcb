package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.runtime.http.HttpResult;

/** Checks of configuration changes and key changes by operators while the fleet serves requests. */
final class OperatorChecks {
    private static final String TEMPLATE = "back-office";
    private static final String NEW_CLASS = "night";
    // Takes about 40 s on a stand-in engine, so that the revocation arrives long before the end of the stream.
    private static final int LONG_STREAM_TOKENS = 4_000;

    private final FleetSession session;

    OperatorChecks(FleetSession session) {
        this.session = session;
    }

    void run(CheckRun run) throws InterruptedException {
        run.check("key-issued-used-revoked", this::keyRevoked);
        run.check("key-revoked-during-stream", this::keyRevokedDuringStream);
        run.check("template-change", this::templateChange);
        run.check("template-change-conflict", this::conflict);
        run.check("operator-token", this::operatorToken);
    }

    private void awaitUsable(String key) throws CheckFailedException, InterruptedException {
        for (FleetMember router : session.routers()) {
            Await.until(
                    "the new key is accepted by " + router.name(),
                    FleetSession.PROPAGATION_TIMEOUT_SECONDS,
                    () -> FleetSession.listModels(router, key).status() == 200);
        }
    }

    private void awaitRevoked(String key) throws CheckFailedException, InterruptedException {
        for (FleetMember router : session.routers()) {
            Await.until(
                    "the revoked key is refused by " + router.name(), FleetSession.PROPAGATION_TIMEOUT_SECONDS, () -> {
                        HttpResult result = FleetSession.listModels(router, key);
                        if (result.status() == 200) {
                            return false;
                        }
                        Expect.error(result, 401, "key_revoked", "not_run");
                        return true;
                    });
        }
    }

    private void keyRevoked() throws IOException, CheckFailedException, InterruptedException {
        JsonNode issued = session.issueKey(FleetSession.SMALL_ACCOUNT);
        String key = issued.path("key").asText();
        awaitUsable(key);
        Completion completion = new Completion(true, FleetSession.MODEL, session.unique("issued"), 4);
        Expect.success(FleetSession.complete(session.lastRouter(), key, completion));
        Expect.success(session.otherOperator()
                .revokeKey(FleetSession.SMALL_ACCOUNT, issued.path("key_id").asText()));
        awaitRevoked(key);
        Expect.success(FleetSession.listModels(session.firstRouter(), session.key(FleetSession.SMALL_ACCOUNT)));
    }

    private void keyRevokedDuringStream() throws IOException, CheckFailedException, InterruptedException {
        JsonNode issued = session.issueKey(FleetSession.SMALL_ACCOUNT);
        String key = issued.path("key").asText();
        awaitUsable(key);
        Completion completion = new Completion(true, FleetSession.MODEL, session.unique("revoked"), LONG_STREAM_TOKENS);
        try (EventStream stream = FleetSession.stream(session.lastRouter(), key, completion)) {
            stream.readTokens(3);
            Expect.success(session.operator()
                    .revokeKey(FleetSession.SMALL_ACCOUNT, issued.path("key_id").asText()));
            stream.readAll();
            Expect.that(!stream.isComplete(), "the stream completed although its key was revoked");
            Expect.equal("code of the last event", "key_revoked", stream.errorCode());
        }
        awaitRevoked(key);
    }

    private void templateChange() throws IOException, CheckFailedException, InterruptedException {
        JsonNode before = session.operator().entity("template", TEMPLATE);
        ObjectNode after = before.deepCopy();
        ObjectNode added = ((ArrayNode) after.path("request_classes")).get(0).deepCopy();
        ((ArrayNode) after.path("request_classes")).add(added.put("name", NEW_CLASS));
        Expect.success(change(session.operator(), after));
        try {
            awaitClassStatus(200);
        } finally {
            Expect.success(change(session.otherOperator(), before));
        }
        awaitClassStatus(403);
    }

    private HttpResult change(OperatorClient operator, JsonNode value) throws IOException {
        long revision = operator.read("/v1/configuration").path("revision").asLong();
        return operator.change(revision, "check", "template", TEMPLATE, value);
    }

    private void awaitClassStatus(int status) throws CheckFailedException, InterruptedException {
        String key = session.key(FleetSession.SMALL_ACCOUNT);
        Completion completion = new Completion(false, FleetSession.MODEL, session.unique("class"), 1);
        for (FleetMember router : session.routers()) {
            Await.until(
                    "requests of class " + NEW_CLASS + " get status " + status + " from " + router.name(),
                    FleetSession.PROPAGATION_TIMEOUT_SECONDS,
                    () -> FleetSession.complete(router, key, completion, "X-Request-Class", NEW_CLASS)
                                    .status()
                            == status);
        }
    }

    /** Expects that a change based on an older revision is refused and leaves the configuration unchanged. */
    private void conflict() throws IOException, CheckFailedException {
        OperatorClient operator = session.operator();
        JsonNode configuration = operator.read("/v1/configuration");
        long revision = configuration.path("revision").asLong();
        JsonNode template = operator.entity("template", TEMPLATE);
        HttpResult result = operator.change(revision - 1, "check", "template", TEMPLATE, template);
        Expect.equal("status", 409, result.status());
        Expect.equal(
                "code",
                "revision_conflict",
                result.json().path("error").path("code").asText());
        Expect.equal("configuration", configuration, operator.read("/v1/configuration"));
    }

    private void operatorToken() throws IOException, CheckFailedException {
        OperatorClient unauthorized = new OperatorClient(session.operator().address(), "wrong");
        Expect.equal(
                "status",
                401,
                unauthorized.call("GET", "/v1/configuration", null).status());
        Expect.equal(
                "status of a change",
                401,
                unauthorized
                        .change(
                                0,
                                "check",
                                "template",
                                TEMPLATE,
                                CanonicalJson.mapper().createObjectNode())
                        .status());
    }
}
