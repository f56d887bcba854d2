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
package org.standlink.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.standlink.Incarnation;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerId;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * The runs that a later incarnation of a worker under the same id may still start, since the
 * outcome of a start call is unknown.
 *
 * <p>An agent reports such a run as long as the call may be carried out, whatever has become of the
 * run: it may have been started by another call, and may have ended. The reports of an earlier
 * agent process are retained for the same time, since the current process does not know its calls.
 *
 * <p>{@code InDoubtRuns} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class InDoubtRuns {

    /** Marks a time that is too long ago for a call to be carried out. */
    private static final long EXPIRED = -1;

    /** The last report of each agent process that named such runs. */
    private final Map<Incarnation, ReportedRuns> reports = new HashMap<>();

    /** When an agent process was replaced that may not have reported its calls for a run. */
    private final Map<RunId, UnreportedCalls> unreported = new HashMap<>();

    /** The tasks of all these runs. */
    private Set<TaskName> tasks = Set.of();

    /** The runs that an agent process reported, its machine, and when, on the leader's clock. */
    private record ReportedRuns(Set<RunId> runs, String node, long at) {}

    /** The worker that was possibly called, null if not known, and since when it may have been. */
    private record UnreportedCalls(WorkerId worker, long at) {

        boolean isInDoubt() {
            return at != EXPIRED;
        }
    }

    /**
     * Records the runs in a report.
     *
     * @param report the report
     * @param now the time on the leader's clock, in milliseconds
     */
    void update(AgentReport report, long now) {
        Set<RunId> reported = new HashSet<>(report.inDoubt());
        for (WorkerReport workerReport : report.workers()) {
            reported.addAll(workerReport.inDoubt());
        }
        boolean changed = reports.remove(report.incarnation()) != null || !reported.isEmpty();
        if (!reported.isEmpty()) {
            reports.put(report.incarnation(), new ReportedRuns(reported, report.node(), now));
        }
        if (changed) {
            indexTasks();
        }
        removeExpired(now, run -> true);
    }

    /**
     * Records which agent process reports a worker. If it is another one than before, the earlier
     * one may have sent start calls that it has not reported.
     *
     * @param worker the worker, with the agent that reported it before
     * @param agent the incarnation of the agent that reports it
     * @param now the time on the leader's clock, in milliseconds
     */
    void workerReported(WorkerEntry worker, Incarnation agent, long now) {
        boolean replaced = worker.getAgent() != null && !worker.getAgent().equals(agent);
        if (replaced && worker.getIncarnation().hasStartTime()) {
            worker.listTasks().stream()
                    .filter(task -> !task.isListed())
                    .forEach(
                            task ->
                                    unreported.putIfAbsent(
                                            task.getRun(),
                                            new UnreportedCalls(
                                                    worker.getIncarnation().getId(), now)));
            indexTasks();
        }
    }

    /**
     * Restores a run that was in doubt under an earlier leader, and was so until now at most.
     *
     * @param run the run
     * @param now the time on the leader's clock, in milliseconds
     */
    void restore(RunId run, long now) {
        unreported.put(run, new UnreportedCalls(null, now));
        indexTasks();
    }

    /**
     * Removes the runs that cannot be started any more.
     *
     * @param now the time on the leader's clock, in milliseconds
     * @param assigned checks whether a run is assigned to a worker; the time of such a run stays,
     *     so that agents that report in turn do not extend it
     */
    void removeExpired(long now, Predicate<RunId> assigned) {
        boolean changed = reports.values().removeIf(report -> isExpired(report.at(), now));
        for (Map.Entry<RunId, UnreportedCalls> entry : List.copyOf(unreported.entrySet())) {
            UnreportedCalls calls = entry.getValue();
            boolean expired = !calls.isInDoubt() || isExpired(calls.at(), now);
            changed |= expired && calls.isInDoubt();
            if (expired && assigned.test(entry.getKey())) {
                unreported.put(entry.getKey(), new UnreportedCalls(calls.worker(), EXPIRED));
            } else if (expired) {
                unreported.remove(entry.getKey());
            }
        }
        if (changed) {
            indexTasks();
        }
    }

    private static boolean isExpired(long at, long now) {
        return now - at >= CellTimes.START_IN_DOUBT_MILLIS;
    }

    private void indexTasks() {
        tasks = new HashSet<>();
        collectRuns().forEach(run -> tasks.add(run.task()));
    }

    private Collection<RunId> collectRuns() {
        List<RunId> runs = new ArrayList<>();
        reports.values().forEach(report -> runs.addAll(report.runs()));
        unreported.forEach(
                (run, calls) -> {
                    if (calls.isInDoubt()) {
                        runs.add(run);
                    }
                });
        return runs;
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether a later incarnation may still start a run.
     *
     * @param run the run
     * @return true if the outcome of a start call is unknown
     */
    boolean contains(RunId run) {
        UnreportedCalls calls = unreported.get(run);
        return calls != null && calls.isInDoubt()
                || reports.values().stream().anyMatch(report -> report.runs().contains(run));
    }

    /**
     * Checks whether a later incarnation may still start any run of a task.
     *
     * @param task the task
     * @return true if the outcome of a start call is unknown
     */
    boolean containsTask(TaskName task) {
        return tasks.contains(task);
    }

    /**
     * Checks whether a later incarnation of a worker may still carry out a start call that an
     * earlier process of the reporting agent has made. The present process does not know it.
     *
     * @param worker the worker
     * @param report the report of the present process
     * @return true if the outcome of such a call is unknown
     */
    boolean containsCallsOfEarlierProcess(WorkerId worker, AgentReport report) {
        return unreported.values().stream()
                        .anyMatch(calls -> calls.isInDoubt() && worker.equals(calls.worker()))
                || reports.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(report.incarnation()))
                        .anyMatch(entry -> entry.getValue().node().equals(report.node()));
    }
}
