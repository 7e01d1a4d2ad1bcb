package org.cranberrybend.ctl.render;

import java.util.List;

/** Aligns the cells of a table in columns. */
final class TextTable {
    private static final String SEPARATOR = "  ";

    private TextTable() {}

    /** Returns the rows with each column padded to its widest cell. All rows have the same number of cells. */
    static String format(List<List<String>> rows) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
                line.append(SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
