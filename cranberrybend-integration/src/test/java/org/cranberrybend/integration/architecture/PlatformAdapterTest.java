package org.cranberrybend.integration.architecture;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks, in the sources of all modules, that code specific to one platform is confined to a small adapter module, so
 * that the product is not tied to this platform.
 */
class PlatformAdapterTest {
    private static final Path ROOT = Path.of(System.getProperty("cranberrybend.root"));
    private static final int MAX_ADAPTER_LINES = 2_000;

    private static List<Path> sources(boolean ofPlatform) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/"))
                    .filter(file -> ROOT.relativize(file).startsWith("platform") == ofPlatform)
                    .collect(Collectors.toList());
        }
    }

    private static List<Path> sourcesWith(String text) throws IOException {
        List<Path> found = new ArrayList<>();
        for (Path source : sources(false)) {
            if (Files.readString(source).contains(text)) {
                found.add(ROOT.relativize(source));
            }
        }
        return found;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Attempt-Id",
                "X-Response-Signature",
                "X-Expect-Instance",
                "X-Not-Executed",
                "X-Duty-Holder",
                "X-Fencing-Token",
                "X-Tenant",
                "kv-txn",
                "kv-watch",
                "kv-range",
                "op/config",
                "op/evacuate",
                "allowed_regions",
                "desired_count",
                "route_type"
            })
    void platformNamesStandInTheAdapterOnly(String name) throws IOException {
        assertThat(sourcesWith(name)).isEmpty();
    }

    @Test
    void onlyTheWiringImportsTheAdapter() throws IOException {
        assertThat(sourcesWith("org.cranberrybend.platform.").stream()
                        .filter(source -> !source.startsWith("cranberrybend-daemon"))
                        .collect(Collectors.toList()))
                .isEmpty();
    }

    @Test
    void adapterStaysSmall() throws IOException {
        long lines = 0;
        for (Path source : sources(true)) {
            lines += Files.readAllLines(source).size();
        }
        assertThat(lines).isGreaterThan(100);
        assertThat(lines).isLessThan(MAX_ADAPTER_LINES);
    }
}
