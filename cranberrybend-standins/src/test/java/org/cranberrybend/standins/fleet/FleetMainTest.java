package org.cranberrybend.standins.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpService;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the steps of the local fleet. The check program needs all keys and processes in fleet.json. */
class FleetMainTest {
    @TempDir
    private Path directory;

    private final List<JsonRequest> received = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PrintStream printer = new PrintStream(out, true, StandardCharsets.UTF_8);

    private JsonResponse respond(JsonRequest request, int status, Map<String, Object> body) {
        received.add(request);
        // The first response is 503, as from a controller that has not reached the platform yet.
        return received.size() == 1 ? JsonResponse.json(503, Map.of()) : JsonResponse.json(status, body);
    }

    @Test
    void setUpWritesConfigurationKeysAndFleetFile() throws Exception {
        JsonRouter router = new JsonRouter()
                .on("GET", "/healthz", r -> JsonResponse.text(200, "ok"))
                .on("GET", "/readyz", r -> JsonResponse.text(200, "ok"))
                .on("GET", "/v1/configuration", r -> respond(r, 200, Map.of("revision", 7)))
                .on("POST", "/v1/changes", r -> respond(r, 200, Map.of("revision", 8)))
                .on("POST", "/v1/accounts/{name}/keys", r -> respond(r, 201, Map.of("key", "cbk_a_b")));
        HttpService controller = new HttpService("127.0.0.1", 0, router);
        controller.start();
        try {
            String address = "127.0.0.1:" + controller.port();
            String line = "controller-a-1|controller|a-1|a|r|"
                    + ProcessHandle.current().pid() + "|settings/c.json|operator=" + address + "|admin=" + address
                    + "|peer=127.0.0.1:1\n";
            Files.writeString(directory.resolve("processes"), line);
            Files.writeString(directory.resolve("operator-token"), "token\n");
            Files.writeString(
                    directory.resolve("configuration.json"),
                    "{\"changes\":[{\"kind\":\"account\",\"name\":\"arena\",\"value\":{\"template\":\"t\"}}]}");
            String[] arguments = {
                "set-up",
                "--directory",
                directory.toString(),
                "--configuration",
                directory.resolve("configuration.json").toString()
            };
            assertThat(FleetMain.run(arguments, printer, printer)).isEqualTo(ExitCode.SUCCESS);
        } finally {
            controller.stop();
        }
        JsonRequest change = received.get(2);
        assertThat(change.header("Authorization").orElse("")).isEqualTo("Bearer token");
        assertThat(change.json().path("seen_revision").asInt()).isEqualTo(7);
        JsonNode fleet = CanonicalJson.mapper().readTree(Files.readString(directory.resolve("fleet.json")));
        assertThat(fleet.path("caller_keys").path("arena").asText()).isEqualTo("cbk_a_b");
        assertThat(fleet.path("seeds").path(0).asText()).isEqualTo("127.0.0.1:1");
        assertThat(fleet.path("processes").path(0).path("pid").asLong())
                .isEqualTo(ProcessHandle.current().pid());
    }

    @Test
    void reportsPortInUse() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String[] arguments = {"prepare", "--count", "1", "--base-port", Integer.toString(taken.getLocalPort())};
            assertThat(FleetMain.run(arguments, printer, printer)).isEqualTo(ExitCode.FAILURE);
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("is in use");
    }
}
