package org.cranberrybend.integration.docs;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.controller.ControllerSettings;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.router.RouterSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationPageTest {
    // Operators look up settings on the configuration page, so it must list exactly those of this build,
    // with their types and ranges.
    @ParameterizedTest
    @CsvSource({"Router, router-settings.schema.json", "Controller, controller-settings.schema.json"})
    void pageListsEveryFieldOfTheSchema(String section, String schemaName) throws IOException {
        Class<?> owner = section.equals("Router") ? RouterSettings.class : ControllerSettings.class;
        JsonNode schema;
        try (InputStream in = owner.getResourceAsStream(schemaName)) {
            schema = CanonicalJson.mapper().readTree(in);
        }
        List<String> expected = new ArrayList<>();
        schema.path("properties")
                .properties()
                .forEach(field -> expected.add(
                        field.getKey() + " " + field.getValue().path("type").asText()
                                + (field.getValue().has("minimum") ? " " + range(field.getValue()) : "")));

        assertThat(rows(section)).containsExactlyElementsIn(expected).inOrder();
    }

    private static String range(JsonNode field) {
        return field.path("minimum").asText() + " to " + field.path("maximum").asText();
    }

    private static List<String> rows(String section) throws IOException {
        Path page = Path.of(System.getProperty("cranberrybend.root"), "docs", "configuration.md");
        List<String> rows = new ArrayList<>();
        boolean inside = false;
        for (String line : Files.readAllLines(page)) {
            if (line.startsWith("#")) {
                inside = line.equals("### " + section);
            } else if (inside && line.startsWith("| `")) {
                String[] cells = line.split(" \\| ");
                String range = cells[2].matches("\\d+ to \\d+") ? " " + cells[2] : "";
                rows.add(cells[0].replaceAll("[|` ]", "") + " " + cells[1] + range);
            }
        }
        return rows;
    }
}
