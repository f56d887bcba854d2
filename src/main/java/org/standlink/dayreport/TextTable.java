/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.dayreport;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of text in aligned columns.
 *
 * <p>{@code TextTable} is not thread-safe.
 */
final class TextTable {

    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** The number of first columns that are aligned to the left, like the last one. */
    private final int leftColumns;

    /**
     * Creates a table.
     *
     * @param leftColumns the number of first columns that are aligned to the left; the last column
     *     always is
     * @param headers the headers of the columns
     */
    TextTable(int leftColumns, String... headers) {
        this.leftColumns = leftColumns;
        rows.add(List.of(headers));
    }

    /**
     * Adds a row.
     *
     * @param cells the cells, as many as there are columns
     */
    void add(List<String> cells) {
        if (cells.size() != rows.get(0).size()) {
            throw new IllegalArgumentException("a row of " + cells.size() + " cells");
        }
        rows.add(cells);
    }

    /**
     * Prints the table, or nothing if it has no rows.
     *
     * @param output where to print
     * @param title the line before the table
     */
    void print(PrintStream output, String title) {
        if (rows.size() == 1) {
            return;
        }
        output.println();
        output.println(title);
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        rows.forEach(row -> output.println(toLine(row, widths)));
    }

    private String toLine(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String padding = " ".repeat(widths[i] - row.get(i).length());
            boolean left = i < leftColumns || i == widths.length - 1;
            line.append(left ? GAP + row.get(i) + padding : GAP + padding + row.get(i));
        }
        return line.toString().stripTrailing();
    }
}
