package org.cranberrybend.ctl;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.cranberrybend.runtime.lifecycle.ServiceException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CtlMainTest {
    private static final String CONFIGURATION = "{\"revision\":7,\"entities\":["
            + "{\"kind\":\"model\",\"name\":\"stub\",\"value\":{\"max_output_tokens\":10,\"context_tokens\":20}}]}";

    @TempDir
    Path directory;

    private final List<JsonRequest> received = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private HttpService controller;
    private int changeStatus = 200;

    @BeforeEach
    void startController() throws ServiceException, IOException {
        JsonRouter router = new JsonRouter()
                .on("GET", "/v1/configuration", request -> raw(200, CONFIGURATION))
                .on("POST", "/v1/changes", this::change)
                .on("GET", "/v1/status", request -> raw(503, "{\"error\":{\"message\":\"starting\"}}"));
        controller = new HttpService("127.0.0.1", 0, router);
        controller.start();
        // The first address refuses connections: reads and writes must be retried on the second.
        Files.writeString(
                directory.resolve("profile.json"),
                "{\"controllers\":[\"http://127.0.0.1:1\",\"http://127.0.0.1:" + controller.port()
                        + "\"],\"operator_token\":\"t\"}");
    }

    @AfterEach
    void stopController() {
        controller.stop();
    }

    private JsonResponse change(JsonRequest request) {
        received.add(request);
        return raw(
                changeStatus,
                changeStatus == 200 ? "{\"revision\":8}" : "{\"error\":{\"message\":\"changed by ben\"}}");
    }

    private static JsonResponse raw(int status, String json) {
        return JsonResponse.bytes(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    private ExitCode run(String... arguments) {
        List<String> all = new ArrayList<>(
                List.of("--profile", directory.resolve("profile.json").toString()));
        all.addAll(List.of(arguments));
        return CtlMain.run(
                all.toArray(new String[0]),
                Map.of("USER", "ana"),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    // Guards against changed exit codes, on which scripts depend.
    @ParameterizedTest
    @CsvSource({
        "get model stub, SUCCESS",
        "get model other, NOT_FOUND",
        "get nonsense stub, USAGE",
        "get model, USAGE",
        "nonsense, USAGE",
        "--output xml status, USAGE",
        "status, UNREACHABLE",
        "key nonsense acme, USAGE",
        "completion, SUCCESS",
        "delete model stub --seen-revision abc, USAGE",
        "delete model stub --seen-revision 7, SUCCESS",
        "timeline --severity LOUD, USAGE",
    })
    void exitCodes(String arguments, ExitCode expected) {
        assertThat(run(arguments.split(" "))).isEqualTo(expected);
    }

    // Guards against a write that overwrites a concurrent change that the operator has not seen.
    @Test
    void applySendsOnlyDifferencesWithTheRevisionSeen() throws Exception {
        Path file = directory.resolve("wanted.json");
        Files.writeString(
                file,
                "{\"entities\":[{\"kind\":\"model\",\"name\":\"stub\",\"value\":{\"context_tokens\":20,"
                        + "\"max_output_tokens\":10}},{\"kind\":\"setting\",\"name\":\"x\",\"value\":1}]}");

        assertThat(run("apply", file.toString())).isEqualTo(ExitCode.SUCCESS);

        JsonNode body = received.get(0).json();
        assertThat(body.path("seen_revision").asLong()).isEqualTo(7);
        assertThat(body.path("author").asText()).isEqualTo("ana");
        assertThat(body.path("changes").size()).isEqualTo(1);
        assertThat(body.path("changes").get(0).path("name").asText()).isEqualTo("x");
    }

    // Guards against a conflict that goes unnoticed: operators need the message and scripts the exit code.
    @Test
    void conflictIsShown() {
        changeStatus = 409;

        assertThat(run("delete", "model", "stub")).isEqualTo(ExitCode.CONFLICT);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("changed by ben");
    }

    private static String logLine(
            long wallMs, String instance, int sequence, String name, String subject, String fields) {
        return "  12.01 " + instance + " {\"event\":400,\"name\":\"" + name + "\",\"severity\":\"INFO\",\"wall_ms\":"
                + wallMs + ",\"instance\":\"" + instance + "\",\"incarnation\":1,\"sequence\":" + sequence
                + ",\"subject\":\"" + subject + "\",\"fields\":{" + fields + "}}\n";
    }

    private ExitCode runOnLogs(String... arguments) throws IOException {
        Path one = directory.resolve("one.log");
        Path two = directory.resolve("two.log");
        // The wall clock of the first instance is set back before its last line.
        Files.writeString(
                one,
                "no event\n"
                        + logLine(900_000, "entry-1", 1, "CONFIGURATION_ACCEPTED", "7", "\"source\":\"store\"")
                        + logLine(901_000, "entry-1", 2, "UPSTREAM_UNHEALTHY", "up-1", "\"cause\":\"silent\"")
                        + logLine(901_100, "entry-1", 3, "REQUEST_DISPATCHED", "r1", "\"upstream\":\"up-1\"")
                        + logLine(899_000, "entry-1", 4, "REQUEST_FAILED", "r1", "\"cause\":\"time limit\""));
        Files.writeString(
                two,
                logLine(901_050, "entry-2", 1, "REQUEST_REFUSED", "r2", "\"code\":\"key_unknown\"")
                        + logLine(901_060, "entry-2", 2, "UPSTREAM_UNHEALTHY", "up-2", "\"cause\":\"reset\""));
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--logs", one.toString(), "--logs", two.toString()));
        return CtlMain.run(all.toArray(new String[0]), Map.of(), new PrintStream(out), new PrintStream(err));
    }

    // Guards against a request that can be explained only while its process runs, and against events in the wrong order
    // after the wall clock was set back.
    @Test
    void requestIsExplainedFromLogs() throws IOException {
        assertThat(runOnLogs("explain", "r1")).isEqualTo(ExitCode.SUCCESS);
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(4);
        assertThat(lines.get(0)).contains("CONFIGURATION_ACCEPTED");
        assertThat(lines.get(1)).contains("UPSTREAM_UNHEALTHY up-1");
        assertThat(lines.get(2)).contains("REQUEST_DISPATCHED");
        assertThat(lines.get(3)).contains("cause=time limit");
    }

    // Guards against empty output and success for a request that is not in the logs.
    @Test
    void unknownRequestIsReportedAsNotFound() throws IOException {
        assertThat(runOnLogs("explain", "r9")).isEqualTo(ExitCode.NOT_FOUND);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("r9");
    }

    @Test
    void timelineMergesLogsOfSeveralProcesses() throws IOException {
        assertThat(runOnLogs("timeline")).isEqualTo(ExitCode.SUCCESS);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().count()).isEqualTo(6);
    }

    private static List<String> fieldNames(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    // Guards against a renamed record component that changes the field names which scripts of operators read.
    @Test
    void jsonTimelineHasTheDocumentedFieldNames() throws IOException {
        assertThat(runOnLogs("timeline", "--output", "json")).isEqualTo(ExitCode.SUCCESS);
        JsonNode first = CanonicalJson.mapper()
                .readTree(out.toString(StandardCharsets.UTF_8))
                .get(0);
        assertThat(fieldNames(first))
                .containsExactly(
                        "fields",
                        "incarnation",
                        "member_id",
                        "name",
                        "number",
                        "sequence",
                        "severity",
                        "stamp",
                        "subject",
                        "zone");
        assertThat(fieldNames(first.path("stamp"))).containsExactly("counter", "wall_ms");
    }

    // Guards against a check that needs a profile, and against an exit status that hides errors from a script.
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "{\"version\":1}; check; 0",
                "{\"version\":1,\"services\":[{\"name\":\"s\"}]}; check; 0",
                "{\"version\":1,\"services\":[{\"name\":\"s\"}]}; check --strict; 1",
                "{\"version\":\"1\"}; check; 1",
                "{\"version\":1}; check --against absent; 2",
                "{\"version\":1}; unknown; 2"
            })
    void configurationIsCheckedWithoutAProfile(String text, String command, int status) throws IOException {
        Path file = Files.writeString(directory.resolve("new.json"), text);
        List<String> arguments = new ArrayList<>(List.of("config"));
        arguments.addAll(List.of(command.split(" ")));
        arguments.add(2, file.toString());
        ExitCode exit =
                CtlMain.run(arguments.toArray(String[]::new), Map.of(), new PrintStream(out), new PrintStream(err));
        assertThat(exit.number()).isEqualTo(status);
        assertThat(received).isEmpty();
    }
}
