package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;

/** Checks of chat and text completions, streamed and not streamed, through each router. */
final class ModelChecks {
    private static final int MAX_TOKENS = 12;

    private final FleetSession session;

    ModelChecks(FleetSession session) {
        this.session = session;
    }

    void run(CheckRun run) throws InterruptedException {
        for (FleetMember router : session.routers()) {
            for (boolean chat : new boolean[] {true, false}) {
                String form = chat ? "chat" : "text";
                run.check(form + "-" + router.name(), () -> completion(router, chat));
            }
            run.check("models-" + router.name(), () -> models(router));
        }
    }

    /** Expects the same text and usage for one prompt whether or not the response is streamed. */
    private void completion(FleetMember router, boolean chat) throws IOException, CheckFailedException {
        String key = session.key(FleetSession.LARGE_ACCOUNT);
        Completion completion =
                new Completion(chat, FleetSession.MODEL, session.unique("Két hely a 7. sorban"), MAX_TOKENS);
        JsonNode response =
                Expect.success(FleetSession.complete(router, key, completion)).json();
        Expect.equal(
                "completion_tokens",
                MAX_TOKENS,
                response.path("usage").path("completion_tokens").asInt());
        try (EventStream stream = FleetSession.stream(router, key, completion).readAll()) {
            Expect.that(stream.isComplete(), "the stream has no [DONE]; error: " + stream.errorCode());
            Expect.equal("tokens", MAX_TOKENS, stream.tokens());
            Expect.equal("streamed text", completion.textOf(response), stream.text());
            Expect.equal("streamed usage", response.path("usage"), stream.usage());
            Expect.that(!stream.header("x-request-id").isEmpty(), "the stream has no X-Request-Id");
        }
    }

    private void models(FleetMember router) throws IOException, CheckFailedException {
        List<String> names = new ArrayList<>();
        Expect.success(FleetSession.listModels(router, session.key(FleetSession.SMALL_ACCOUNT)))
                .json()
                .path("data")
                .forEach(each -> names.add(each.path("id").asText()));
        Expect.equal("models of the template", List.of(FleetSession.MODEL), names);
    }
}
