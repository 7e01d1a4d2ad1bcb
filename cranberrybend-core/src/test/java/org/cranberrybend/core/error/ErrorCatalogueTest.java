package org.cranberrybend.core.error;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.cranberrybend.core.CataloguePages;
import org.junit.jupiter.api.Test;

class ErrorCatalogueTest {
    // Callers look errors up in docs/callers.md, so the page must list every error as this build defines it.
    @Test
    void pageListsEveryErrorOnceInOrder() throws IOException {
        List<String> rows = CataloguePages.rows("callers.md", "\\| `[a-z_]+` \\| \\d{3} \\| .*");

        List<String> codes = rows.stream()
                .map(row -> row.substring(0, row.indexOf('|', row.indexOf('|', 3) + 1))
                        .strip())
                .toList();
        List<String> expected = Arrays.stream(ErrorCode.values())
                .map(code -> "| `" + code.wireCode() + "` | " + code.httpStatus())
                .toList();
        assertThat(codes).containsExactlyElementsIn(expected).inOrder();
    }
}
