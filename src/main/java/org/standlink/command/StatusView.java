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
package org.standlink.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Evaluates and prints a status that the admin API returned.
 *
 * <p>{@code StatusView} is thread-safe and immutable.
 */
final class StatusView {

    private final List<JsonNode> cells = new ArrayList<>();

    /** The workers of all cells. */
    private final List<JsonNode> workers = new ArrayList<>();

    /** The tasks of all cells. */
    private final List<JsonNode> tasks = new ArrayList<>();

    /** The version of the bundle at the entry. */
    private final long bundleVersion;

    private StatusView(JsonNode status) {
        bundleVersion = status.path("bundle").asLong();
        for (JsonNode cell : status.path("cells")) {
            cells.add(cell);
            cell.path("workers").forEach(workers::add);
            cell.path("tasks").forEach(tasks::add);
        }
    }

    /**
     * Creates a view.
     *
     * @param status the answer of the admin API
     * @return the view
     */
    static StatusView of(JsonNode status) {
        return new StatusView(status);
    }

    /**
     * Checks whether a version of the bundle is in force at the entry and on all VMs.
     *
     * @param wanted the version
     * @return true if there are workers and the entry and all workers report it or a newer one
     */
    boolean isBundleInForceOnAllVms(long wanted) {
        return !workers.isEmpty()
                && bundleVersion >= wanted
                && workers.stream().allMatch(worker -> worker.path("bundle").asLong() >= wanted);
    }

    /**
     * Checks whether every task is finished.
     *
     * @return true if there are tasks and all are finished
     */
    boolean isEveryTaskFinished() {
        return !tasks.isEmpty() && countFinished() == tasks.size();
    }

    /**
     * Gets a summary of one line.
     *
     * @return the line
     */
    String getSummary() {
        long inForce =
                workers.stream()
                        .filter(worker -> worker.path("bundle").asLong() == bundleVersion)
                        .count();
        return String.format(
                "tasks %d of %d, bundle %d on %d of %d VMs",
                countFinished(), tasks.size(), bundleVersion, inForce, workers.size());
    }

    /**
     * Prints tables of the cells, workers and tasks.
     *
     * @param output where to print
     */
    void print(PrintStream output) {
        output.printf("%-12s %-16s %6s  %s%n", "CELL", "LEADER", "EPOCH", "");
        for (JsonNode cell : cells) {
            output.printf(
                    "%-12s %-16s %6d  %s%n",
                    cell.path("cell").asText(),
                    cell.path("leader").asText(),
                    cell.path("epoch").asLong(),
                    cell.path("error").asText());
        }
        output.printf(
                "%n%-16s %-12s %-12s %-18s %6s %5s%n",
                "VM", "HALL", "RACK", "STATE", "BUNDLE", "TASKS");
        for (JsonNode worker : workers) {
            output.printf(
                    "%-16s %-12s %-12s %-18s %6d %5d%n",
                    worker.path("vm").asText(),
                    worker.path("hall").asText(),
                    worker.path("rack").asText(),
                    worker.path("state").asText(),
                    worker.path("bundle").asLong(),
                    worker.path("tasks").asLong());
        }
        output.printf(
                "%n%-24s %-10s %7s %-16s %s%n", "TASK", "STATE", "ATTEMPT", "VM", "WAITS BECAUSE");
        for (JsonNode task : tasks) {
            output.printf(
                    "%-24s %-10s %7d %-16s %s%n",
                    task.path("task").asText(),
                    task.path("state").asText(),
                    task.path("attempt").asLong(),
                    task.path("worker").asText(),
                    task.path("reason").asText());
        }
        output.println();
    }

    private long countFinished() {
        return tasks.stream()
                .filter(task -> task.path("state").asText().equals("finished"))
                .count();
    }
}
