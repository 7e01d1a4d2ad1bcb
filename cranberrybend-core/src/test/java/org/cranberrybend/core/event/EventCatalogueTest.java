package org.cranberrybend.core.event;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.cranberrybend.core.CataloguePages;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
    // Operators look events up in docs/events.md, so the page must list every event as this build defines it.
    @Test
    void pageListsEveryEventOnceInOrder() throws IOException {
        List<String> rows = CataloguePages.rows("events.md", "\\| \\d+ .*");

        List<String> expected = Arrays.stream(EventCode.values())
                .map(code -> String.format(
                        Locale.ROOT,
                        "| %d | `%s` | %s | %s |",
                        code.number(),
                        code.name(),
                        code.severity(),
                        code.description()))
                .toList();
        assertThat(rows).containsExactlyElementsIn(expected).inOrder();
    }

    // Two events with the same number could not be distinguished in the logs.
    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(EventCode.values()).map(EventCode::number).toList())
                .containsNoDuplicates();
    }
}
