package org.cranberrybend.ctl.render;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;

/** Output formats of the commands. */
public enum OutputFormat {
    /** Aligned columns for people. */
    TABLE {
        @Override
        public String rows(List<String> columns, List<JsonNode> rows) {
            List<List<String>> cells = new ArrayList<>();
            cells.add(columns.stream().map(column -> column.replace('_', ' ')).toList());
            for (JsonNode row : rows) {
                cells.add(columns.stream().map(column -> text(row.path(column))).toList());
            }
            return TextTable.format(cells);
        }

        @Override
        public String object(JsonNode object) {
            StringBuilder text = new StringBuilder();
            object.properties().forEach(field -> text.append(field.getKey().replace('_', ' '))
                    .append(": ")
                    .append(text(field.getValue()))
                    .append('\n'));
            return text.toString();
        }
    },
    /** Canonical JSON for programs. */
    JSON {
        @Override
        public String rows(List<String> columns, List<JsonNode> rows) {
            return CanonicalJson.write(rows) + "\n";
        }

        @Override
        public String object(JsonNode object) {
            return CanonicalJson.write(object) + "\n";
        }
    };

    /** Formats a list of JSON objects; a table contains the given fields only. */
    public abstract String rows(List<String> columns, List<JsonNode> rows);

    /** Formats one JSON object. */
    public abstract String object(JsonNode object);

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : CanonicalJson.write(value);
    }
}
