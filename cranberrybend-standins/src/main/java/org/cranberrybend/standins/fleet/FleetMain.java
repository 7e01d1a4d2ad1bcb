package org.cranberrybend.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Steps of bin/cranberrybend-local that a shell cannot do on its own; written in Java because the machine may have no
 * other tools.
 *
 * <p>{@code prepare} prints the first of a range of free ports and new secrets; {@code set-up} configures the started
 * processes and writes fleet.json and profile.json; {@code example} prints an example request.
 */
public final class FleetMain {
    private static final int SECRET_BYTES = 24;
    private static final String DEFAULT_TIMEOUT_SECONDS = "60";

    private FleetMain() {}

    /** Runs the step named by the first argument. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err).number());
    }

    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            switch (line.getArgList().isEmpty() ? "" : line.getArgList().get(0)) {
                case "prepare" -> prepare(line, out);
                case "set-up" -> setUp(line, out);
                case "example" -> example(line, out);
                default -> throw new ParseException("the first argument must be prepare, set-up or example");
            }
            return ExitCode.SUCCESS;
        } catch (ParseException e) {
            err.println("cranberrybend-local: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (FleetException | IOException e) {
            err.println("cranberrybend-local: " + e.getMessage());
            return ExitCode.FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        }
    }

    private static Options options() {
        return new Options()
                .addOption(null, "count", true, "number of consecutive ports")
                .addOption(null, "base-port", true, "first port; chosen if absent")
                .addOption(null, "directory", true, "directory of the fleet")
                .addOption(null, "configuration", true, "file with the first configuration")
                .addOption(null, "timeout-seconds", true, "time limit of the wait for readiness");
    }

    /** Prints the first port, the operator token, its digest and the secret for hashing API keys. */
    private static void prepare(CommandLine line, PrintStream out) throws ParseException, FleetException {
        int base = PortRange.find(number(line, "count", "1"), number(line, "base-port", "0"));
        String token = randomHex();
        out.println(base + " " + token + " " + CanonicalJson.digestHex(token) + " " + randomHex());
    }

    private static String randomHex() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static void setUp(CommandLine line, PrintStream out)
            throws ParseException, FleetException, IOException, InterruptedException {
        Path directory = Path.of(required(line, "directory"));
        JsonNode configuration =
                CanonicalJson.mapper().readTree(Files.readString(Path.of(required(line, "configuration"))));
        List<FleetProcess> processes = FleetProcess.readTable(Files.readAllLines(directory.resolve("processes")));
        String token = Files.readString(directory.resolve("operator-token")).strip();
        int timeoutSeconds = number(line, "timeout-seconds", DEFAULT_TIMEOUT_SECONDS);
        try (FleetSetUp setUp = new FleetSetUp(processes, token, timeoutSeconds)) {
            setUp.awaitAll(List.of("platform", "engine", "service"), "/readyz");
            // A daemon may become ready only with a configuration, so the first one is written
            // before waiting for readiness.
            setUp.awaitAll(List.of("controller", "router"), "/healthz");
            Map<String, String> keys = setUp.configure(configuration);
            setUp.awaitAll(List.of("controller", "router"), "/readyz");
            Files.writeString(directory.resolve("fleet.json"), CanonicalJson.write(setUp.describe(keys)) + "\n");
            Files.writeString(directory.resolve("profile.json"), CanonicalJson.write(setUp.profile()) + "\n");
        }
        out.println("ready: " + processes.size() + " processes");
    }

    private static void example(CommandLine line, PrintStream out) throws ParseException, IOException {
        JsonNode fleet =
                CanonicalJson.mapper().readTree(Files.readString(Path.of(required(line, "directory"), "fleet.json")));
        String caller = "";
        for (JsonNode each : fleet.path("processes")) {
            if (caller.isEmpty()) {
                caller = each.path("addresses").path("caller").asText("");
            }
        }
        String key = fleet.path("caller_keys").elements().next().asText();
        out.println("caller address: http://" + caller);
        out.println("key:            " + key);
        out.println("curl -N http://" + caller + "/v1/chat/completions -H 'Authorization: Bearer " + key
                + "' -H 'Content-Type: application/json' -d '{\"model\":\"stub-writer\",\"stream\":true,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"Two seats in row 7\"}]}'");
    }

    private static String required(CommandLine line, String option) throws ParseException {
        if (!line.hasOption(option)) {
            throw new ParseException("--" + option + " is missing");
        }
        return line.getOptionValue(option);
    }

    private static int number(CommandLine line, String option, String defaultValue) throws ParseException {
        try {
            return Integer.parseInt(line.getOptionValue(option, defaultValue));
        } catch (NumberFormatException e) {
            throw new ParseException("--" + option + " must be a whole number");
        }
    }
}
