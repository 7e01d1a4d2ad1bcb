package org.cranberrybend.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.platform.PlatformPorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationCheckCommandTest {
    private static final String SOUND = "{\"version\":7,\"routes\":["
            + "{\"name\":\"r1\",\"host\":\"one.example\",\"prefix\":\"/a/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":5000,\"target_latency_ms\":600,\"gap_target_ms\":0,\"allowed_regions\":[\"eu\"],"
            + "\"traffic_split\":[{\"service\":\"s1\",\"weight\":1},{\"service\":\"s2\",\"weight\":2}]},"
            + "{\"name\":\"r2\",\"host\":\"one.example\",\"prefix\":\"/b/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":5000,\"service\":\"s3\"}],"
            + "\"services\":[{\"name\":\"s1\",\"scaling\":{\"min\":1,\"max\":4,\"zone_prices\":{\"z1\":0.8}}},"
            + "{\"name\":\"s2\"},{\"name\":\"s3\",\"cold_start_s\":0}],"
            + "\"limits\":{\"max_body_bytes\":1000000},"
            + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-one\"],\"allowed_regions\":[\"eu\",\"us\"]},"
            + "{\"name\":\"t2\",\"api_keys\":[\"key-two\"],\"priority\":2}]}";
    private static final String SETTINGS = "{\"instance\":\"i\",\"availability_zone\":\"z1\",\"region\":\"eu\","
            + "\"regions_by_zone\":{\"z2\":\"us\"},\"listen\":{\"callers\":\"127.0.0.1:1\","
            + "\"readiness\":\"127.0.0.1:2\",\"control\":\"127.0.0.1:3\",\"metrics\":\"127.0.0.1:4\"},\"seeds\":[],"
            + "\"store\":{\"address\":\"127.0.0.1:5\"},\"duties\":{},\"memory_mb\":2,\"shutdown_limit_s\":1,"
            + "\"retry_budget\":{},\"lease_ms\":1,\"usage\":{\"window_s\":1,\"due_s\":1}}";

    @TempDir
    Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int check(String text, String... options) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(file("new", text)));
        arguments.addAll(Arrays.asList(options));
        out.reset();
        return ConfigurationCheckCommand.run(
                arguments.toArray(String[]::new),
                new PrintStream(out),
                new PrintStream(OutputStream.nullOutputStream()));
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private static boolean instanceAccepts(String text) {
        ConfigurationHolder holder = new ConfigurationHolder(
                new PlatformPorts().configurationDecoder(),
                new DecisionLog("i", 1, TimeSource.system(), OutputStream.nullOutputStream()));
        holder.offer("store", text.getBytes(StandardCharsets.UTF_8));
        return holder.current().isPresent();
    }

    // Guards against findings that are missed or false, and against a check that differs from the instances' decoder.
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "\"version\":7; \"version\":7; ``; ``",
                "\"version\":7; \"version\":0; error VERSION_NOT_NEWER; version 0",
                "\"version\":7; \"version\":\"7\"; error INVALID; field version",
                "[{\"name\":\"s1\"; [{\"name\":1; error INVALID; field services[0].name",
                "\"min\":1; \"min\":5; error INVALID; field services[0]: scaling bounds",
                "\"prefix\":\"/b/\"; \"prefix\":\"b\"; error INVALID; field routes[1]: prefix",
                "\"max_body_bytes\":1000000; \"max_body_bytes\":-1; error INVALID; field limits: limits",
                "\"cold_start_s\":0; \"cold_start_s\":-1; error INVALID; field services[2].cold_start_s",
                "[\"key-two\"]; [2]; error INVALID; field tenants[1].api_keys",
                "\"prefix\":\"/b/\"; \"prefix\":\"/a/\"; warning ROUTE_HIDDEN; route r2",
                "{\"name\":\"s2\"}; {\"name\":\"s2\"},{\"name\":\"s2\"}; warning SERVICE_REPLACED; service s2",
                "{\"name\":\"s2\"}; {\"name\":\"s2\"},{\"name\":\"s4\"}; warning SERVICE_UNUSED; service s4",
                "\"weight\":1; \"weight\":0; warning TARGET_WITHOUT_WEIGHT; route r1: service s1",
                "\"allowed_regions\":[\"eu\"]; \"allowed_regions\":[\"us\"]; warning REGION_WITHOUT_ZONE; service s1",
                "[\"eu\",\"us\"]; [\"eu\",\"asia\"]; warning REGION_WITHOUT_ZONE; asia, which these accounts allow: t1",
                "\"key-two\"; \"key-one\"; warning KEY_SHARED; accounts t1 and t2 list the key sha256:",
                "\"key-two\"; \"key-ű\"; ``; ``",
                "\"key-two\"; \" key-two\"; warning TEXT_UNUSABLE_IN_HEADER; of account t2",
                "\"name\":\"t2\"; \"name\":\"tű\"; ``; ``",
                "\"name\":\"t2\"; \"name\":\"t2 \"; warning TEXT_UNUSABLE_IN_HEADER; name of account t2",
                "\"name\":\"t2\"; \"name\":\"t\\\\n2\"; warning TEXT_UNUSABLE_IN_HEADER; name of account t?2",
                "\"prefix\":\"/b/\"; \"prefix\":\"/b\\\\u0000/\"; warning TEXT_UNUSABLE_IN_HEADER; prefix of route r2",
                "\"target_latency_ms\":600; \"target_latency_ms\":5001; warning LATENCY_TARGET_ABOVE_TIMEOUT; route r1",
                "\"gap_target_ms\":0; \"gap_target_ms\":5001; warning PAUSE_TARGET_ABOVE_TIMEOUT; route r1",
                "[\"eu\",\"us\"]; [\"us\"]; warning REGIONS_DISJOINT; route r1 allows no region of these accounts: t1",
                "\"max_body_bytes\":1000000; \"max_body_bytes\":3000000; warning BODY_LIMIT_ABOVE_MEMORY; 3000000"
            })
    void entryAtFaultIsFound(String part, String replacement, String finding, String message) throws IOException {
        assertThat(SOUND).contains(part);
        String text = SOUND.replaceFirst(Pattern.quote(part), replacement);
        String settings = file("settings", SETTINGS);
        boolean error = finding.startsWith("error");
        assertThat(check(text, "--settings", settings)).isEqualTo(error ? 1 : 0);
        assertThat(instanceAccepts(text)).isEqualTo(!error);
        List<String> lines = out.toString().lines().collect(Collectors.toList());
        assertThat(lines).hasSize(finding.isEmpty() ? 1 : 2);
        assertThat(lines.get(0)).startsWith(finding);
        assertThat(lines.get(0)).contains(message);
        assertThat(out.toString()).doesNotContain("key-one");
        assertThat(check(text, "--settings", settings, "--strict")).isEqualTo(finding.isEmpty() ? 0 : 1);
    }

    // Guards against a fault that hides those of other entries.
    @Test
    void faultsOfAllEntriesAreReported() throws IOException {
        assertThat(check(
                        SOUND.replace("\"timeout_ms\":5000", "\"timeout_ms\":0").replace("\"s3\",", "[],")))
                .isEqualTo(1);
        assertThat(out.toString()).contains("routes[0]:");
        assertThat(out.toString()).contains("routes[1]:");
        assertThat(out.toString()).contains("services[2].name");
    }

    // Guards against a check that accepts what an instance refuses, and the reverse.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void checkAgreesWithAnInstanceOnMutations(long seed) throws IOException {
        System.out.println("seed " + seed);
        Random random = new Random(seed);
        String[] tokens = SOUND.split("(?<=[\\[\\]{},:])|(?=[\\[\\]{},:])");
        String[] values = {"null", "-1", "0", "1e400", "99999999999", "2.5", "\"\"", "[]", "{}", "true", "\"/\"", ","};
        int accepted = 0;
        for (int round = 0; round < 500; round++) {
            String[] mutated = tokens.clone();
            for (int i = random.nextInt(2); i >= 0; i--) {
                int position = random.nextInt(tokens.length);
                mutated[position] = random.nextBoolean()
                        ? values[random.nextInt(values.length)]
                        : tokens[random.nextInt(tokens.length)];
            }
            String text = String.join("", mutated);
            boolean accepts = instanceAccepts(text);
            accepted += accepts ? 1 : 0;
            assertWithMessage("round %s of seed %s: %s", round, seed, text)
                    .that(check(text))
                    .isEqualTo(accepts ? 0 : 1);
        }
        assertThat(accepted).isGreaterThan(0);
        assertThat(accepted).isLessThan(500);
    }

    // Guards against a change that the operator does not see, and against keys in the output.
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "\"version\":7; \"version\":8; ``",
                "\"timeout_ms\":5000,\"t; \"timeout_ms\":6000,\"t; changed route r1|timeout ms: 5000 -> 6000",
                "{\"name\":\"s2\"}; {\"name\":\"s5\"}; removed service s2|added service s5",
                "\"max\":4; \"max\":5; changed service s1|upstreams max: 4 -> 5",
                "[\"key-two\"]; [\"key-two\",\"key-3\"]; changed account t2|keys added: sha256:",
                "\"priority\":2; \"priority\":3; changed account t2|priority: 2 -> 3",
                "1000000; 2000000; changed limits|body bytes: 1000000 -> 2000000"
            })
    void differenceFromTheVersionInForceIsListed(String part, String replacement, String expected) throws IOException {
        String inForce = file("in-force", SOUND);
        String next = SOUND.replace(part, replacement).replace("\"version\":7", "\"version\":8");
        assertThat(check(next, "--against", inForce)).isEqualTo(0);
        String[] parts = expected.isEmpty() ? new String[0] : expected.split("\\|");
        Arrays.stream(parts).forEach(each -> assertThat(out.toString()).contains(each));
        long changes = out.toString()
                .lines()
                .filter(line -> line.matches("(added|removed|changed) .*"))
                .count();
        assertThat(changes)
                .isEqualTo(
                        Arrays.stream(parts).filter(each -> !each.contains(":")).count());
        assertThat(out.toString()).doesNotContain("key-");
        assertThat(check(SOUND, "--against", inForce)).isEqualTo(1);
        assertThat(check(next, "--against", inForce, "--output", "json")).isEqualTo(0);
        assertThat(out.toString()).startsWith("{\"findings\":[");
    }

    @Test
    void unreadableFileAndWrongUsageHaveTheirOwnStatus() throws IOException {
        assertThat(check(SOUND, "--against", directory.resolve("absent").toString()))
                .isEqualTo(2);
        assertThat(check(SOUND, "--against", file("broken", "{"))).isEqualTo(2);
        assertThat(check(SOUND, "--memory-mb", "many")).isEqualTo(2);
        assertThat(check(SOUND, "--output", "xml")).isEqualTo(2);
    }

    // Guards against work that grows with the square of the accounts; the CPU time is printed, not judged.
    @Test
    void configurationWithThirteenThousandAccountsIsChecked() throws IOException {
        String accounts = IntStream.range(0, 13_000)
                .mapToObj(i -> "{\"name\":\"a" + i + "\",\"api_keys\":[\"k" + i + "\"],\"allowed_regions\":[\"us\",\"n"
                        + i + "\"]},")
                .collect(Collectors.joining());
        String text = SOUND.replace("\"tenants\":[", "\"tenants\":[" + accounts);
        String inForce = file("in-force", text.replace("\"k", "\"j"));
        long startNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        int status = check(text.replace("\"version\":7", "\"version\":8"), "--against", inForce);
        long endNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        System.out.println(
                "CPU time for 13,000 accounts, all of them changed: " + (endNs - startNs) / 1_000_000 + " ms");
        assertThat(status).isEqualTo(0);
        assertThat(out.toString())
                .contains("REGIONS_DISJOINT: route r1 allows no region of these accounts: a0, a1, a2"
                        + " and 12997 more");
        assertThat(out.toString()).contains("13002 changes");
    }
}
