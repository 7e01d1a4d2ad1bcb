package org.cranberrybend.daemon;

import com.google.common.base.CharMatcher;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.check.Change;
import org.cranberrybend.entry.check.ConfigurationCheck;
import org.cranberrybend.entry.check.ConfigurationDifference;
import org.cranberrybend.entry.check.Finding;
import org.cranberrybend.entry.check.FindingCode;
import org.cranberrybend.entry.configuration.ConfigurationDocument;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.port.Decoder;
import org.cranberrybend.platform.PlatformPorts;

/** Checks a configuration file with the decoder of an instance, without a network. */
public final class ConfigurationCheckCommand {
    /** Exit status if there are no errors. */
    public static final int EXIT_SOUND = 0;
    /** Exit status if an instance would refuse the configuration, or with {@code --strict} if there are warnings. */
    public static final int EXIT_ERRORS = 1;
    /** Exit status if a file could not be read, the version in force could not be decoded, or the usage was wrong. */
    public static final int EXIT_UNREADABLE = 2;

    private final Decoder<ConfigurationDocument> decoder = new PlatformPorts().documentDecoder();
    private final CommandLine line;
    private final List<Finding> findings = new ArrayList<>();
    private final List<String> notChecked = new ArrayList<>();
    private List<Change> changes = List.of();

    private ConfigurationCheckCommand(CommandLine line) {
        this.line = line;
    }

    /** Adds the options of the check, except for the output format. */
    public static Options addOptions(Options options) {
        return options.addOption(null, "against", true, "config check: file with the configuration in force")
                .addOption(null, "settings", true, "config check: settings file of an instance, for zones and memory")
                .addOption(null, "memory-mb", true, "config check: memory of an instance; default: of --settings")
                .addOption(null, "strict", false, "config check: warnings are errors");
    }

    /** Parses the arguments and runs the check; returns the exit status. */
    static int run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser()
                    .parse(addOptions(new Options()).addOption("o", "output", true, "text or json"), arguments);
            String output = line.getOptionValue("output", "text");
            if (line.getArgList().size() != 1 || !List.of("text", "json").contains(output)) {
                throw new ParseException("usage: NEW [--against IN_FORCE] [--settings FILE] [--memory-mb N] [--strict]"
                        + " [--output text|json]");
            }
            return run(line, Path.of(line.getArgList().get(0)), output.equals("json"), out, err);
        } catch (ParseException e) {
            err.println(e.getMessage());
            return EXIT_UNREADABLE;
        }
    }

    /** Runs the check with parsed options; returns the exit status. */
    public static int run(CommandLine line, Path file, boolean json, PrintStream out, PrintStream err) {
        ConfigurationCheckCommand command = new ConfigurationCheckCommand(line);
        try {
            command.check(file);
        } catch (IOException | JsonFormatException e) {
            err.println("cannot be read: " + e.getMessage());
            return EXIT_UNREADABLE;
        } catch (NumberFormatException e) {
            err.println("--memory-mb must be a number");
            return EXIT_UNREADABLE;
        }
        out.print(json ? command.json() : command.text());
        return command.findings.stream().anyMatch(command::isError) ? EXIT_ERRORS : EXIT_SOUND;
    }

    private void check(Path file) throws IOException, JsonFormatException {
        byte[] text = read(file);
        Optional<ConfigurationDocument> inForce = Optional.empty();
        if (line.hasOption("against")) {
            Path other = Path.of(line.getOptionValue("against"));
            inForce = Optional.of(decodeNamed(other, decoder));
        }
        Map<String, String> regionsByZone = Map.of();
        OptionalInt memoryMb = OptionalInt.empty();
        if (line.hasOption("settings")) {
            EntrySettings settings =
                    decodeNamed(Path.of(line.getOptionValue("settings")), (name, value) -> EntrySettings.parse(value));
            regionsByZone = settings.regionsByZone();
            memoryMb = OptionalInt.of(settings.memoryMb());
        }
        if (line.hasOption("memory-mb")) {
            memoryMb = OptionalInt.of(Integer.parseInt(line.getOptionValue("memory-mb")));
        }
        if (regionsByZone.isEmpty()) {
            notChecked.add("allowed regions without a zone; needs --settings");
        }
        if (memoryMb.isEmpty()) {
            notChecked.add("body limit; needs --memory-mb or --settings");
        }
        ConfigurationDocument document;
        try {
            document = decoder.decode(file.toString(), text);
        } catch (JsonFormatException e) {
            e.faults().forEach(fault -> findings.add(new Finding(FindingCode.INVALID, fault)));
            return;
        }
        long versionInForce =
                Math.max(0, inForce.map(ConfigurationDocument::version).orElse(0L));
        findings.addAll(ConfigurationCheck.findings(document, versionInForce, regionsByZone, memoryMb));
        changes = inForce.map(old -> ConfigurationDifference.between(old, document))
                .orElse(List.of());
    }

    private static byte[] read(Path file) throws IOException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IOException("file " + file + " (" + e.getClass().getSimpleName() + ")", e);
        }
    }

    private static <T> T decodeNamed(Path file, Decoder<T> decoder) throws IOException, JsonFormatException {
        try {
            return decoder.decode(file.toString(), read(file));
        } catch (JsonFormatException e) {
            throw new JsonFormatException("file " + file + ": " + e.getMessage(), e);
        }
    }

    private boolean isError(Finding finding) {
        return finding.code().isError() || line.hasOption("strict");
    }

    private String severity(Finding finding) {
        return isError(finding) ? "error" : "warning";
    }

    private String text() {
        List<String> lines = new ArrayList<>();
        findings.forEach(each -> lines.add(severity(each) + " " + each.code() + ": " + each.message()));
        for (Change change : changes) {
            lines.add(name(change) + " " + change.subject());
            change.details().forEach(detail -> lines.add("    " + detail));
        }
        notChecked.forEach(each -> lines.add("not checked: " + each));
        long errors = findings.stream().filter(this::isError).count();
        lines.add(errors + " errors, " + (findings.size() - errors) + " warnings, " + changes.size() + " changes");
        // A name with a line break must not look like a line of the report.
        return lines.stream()
                .map(each -> CharMatcher.javaIsoControl().replaceFrom(each, '?') + "\n")
                .collect(Collectors.joining());
    }

    private static String name(Change change) {
        return change.kind().name().toLowerCase(Locale.ROOT);
    }

    private String json() {
        List<Map<String, Object>> findingRows = new ArrayList<>();
        for (Finding finding : findings) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("severity", severity(finding));
            row.put("code", finding.code());
            row.put("message", finding.message());
            findingRows.add(row);
        }
        List<Map<String, Object>> changeRows = new ArrayList<>();
        for (Change change : changes) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("change", name(change));
            row.put("subject", change.subject());
            row.put("details", change.details());
            changeRows.add(row);
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("findings", findingRows);
        report.put("changes", changeRows);
        report.put("not_checked", notChecked);
        return new String(Json.write(report), StandardCharsets.UTF_8) + "\n";
    }
}
