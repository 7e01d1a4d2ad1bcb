package org.cranberrybend.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads tables of pages in docs/, so that tests can compare them with the code. */
public final class CataloguePages {
    private CataloguePages() {}

    /** Returns the lines of a page that match a pattern, in order. */
    public static List<String> rows(String page, String pattern) throws IOException {
        Path file = Path.of(System.getProperty("cranberrybend.root"), "docs", page);
        return Files.readAllLines(file).stream()
                .filter(line -> line.matches(pattern))
                .toList();
    }
}
