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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.standlink.JobId;
import org.standlink.job.JobState;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/**
 * What the log shows so far about a job.
 *
 * <p>A leader logs decisions before they are stored. If it is replaced before that, the next leader
 * repeats them, so that an assignment, the result of a run and the final state can be revoked by
 * later lines.
 *
 * <p>{@code JobTrace} is not thread-safe.
 */
final class JobTrace {

    private final JobId id;

    /** When the leader received the job, which is when it counts as accepted, in milliseconds. */
    private final long receivedAt;

    private final Map<StepKey, StepTrace> steps = new LinkedHashMap<>();

    private final Tally<String> lostRuns = new Tally<>(LostRunCause.OTHER);

    private String queue = "";

    private boolean accepted;

    private int taskCount;

    private int runs;

    /** The final state, null if the job is not final. */
    private JobState finalState;

    /** When the job became final, in milliseconds. */
    private long finalAt;

    /** When a run last began or ended, in milliseconds. */
    private long lastChangeAt;

    /** A step of one repetition. */
    private record StepKey(int repetition, int step) {

        static StepKey of(TaskName task) {
            return new StepKey(task.repetition(), task.step());
        }
    }

    /**
     * Creates a trace.
     *
     * @param id the job
     * @param receivedAt when the leader received it, in milliseconds
     */
    JobTrace(JobId id, long receivedAt) {
        this.id = id;
        this.receivedAt = receivedAt;
        this.lastChangeAt = receivedAt;
    }

    /**
     * Records that the job is stored.
     *
     * @param acceptedQueue its queue
     */
    void accept(String acceptedQueue) {
        accepted = true;
        learnQueue(acceptedQueue);
    }

    /**
     * Records the queue if it is not known.
     *
     * @param knownQueue the queue
     */
    void learnQueue(String knownQueue) {
        queue = queue.isEmpty() ? knownQueue : queue;
    }

    /**
     * Records an assignment. The job is no longer final: a leader that has stored its final state
     * assigns none of its tasks.
     *
     * @param run the run
     * @param worker the worker
     * @param time when, in milliseconds
     */
    void assign(RunId run, String worker, long time) {
        StepTrace step = steps.computeIfAbsent(StepKey.of(run.task()), key -> new StepTrace());
        TaskTrace task = step.find(run.task());
        if (task == null) {
            task = step.add(run.task());
            taskCount++;
        } else if (task.isActive()) {
            if (run.number() < task.getActiveRun()) {
                return;
            }
            if (task.isActive(run.number())) {
                // No run was started, so no time was lost.
                lose(task, LostRunCause.NOT_STORED, task.getAssignedAt());
            } else {
                lose(task, LostRunCause.END_MISSING, time);
            }
        } else if (task.isDone()) {
            revokeResult(task);
        }
        finalState = null;
        runs++;
        lastChangeAt = time;
        task.assign(run.number(), worker, time);
    }

    /**
     * Records that a run is to be stopped.
     *
     * @param run the run
     * @param cause the cause
     */
    void markStop(RunId run, String cause) {
        TaskTrace task = find(run);
        if (task != null) {
            markStop(task, run.number(), cause);
        }
    }

    /**
     * Records the end of a run.
     *
     * @param run the run
     * @param kind how it ended
     * @param workerStopCause why runs of its worker are stopped, empty if not known
     * @param time when, in milliseconds
     */
    void end(RunId run, RunEndKind kind, String workerStopCause, long time) {
        TaskTrace task = find(run);
        if (task == null) {
            return;
        }
        // Runs start only once their job is stored.
        accepted = true;
        boolean active = task.isActive(run.number());
        if (kind == RunEndKind.DONE) {
            task.complete(run.number(), time);
            lastChangeAt = time;
        } else if (active) {
            markStop(task, run.number(), workerStopCause);
            lose(task, LostRunCause.ofEnd(kind, task.getStopCause()), time);
        }
    }

    /**
     * Records that a run was released from its worker. If the run had completed its task, that
     * result was not stored, as a leader releases only runs that it takes to be active.
     *
     * @param run the run
     * @param reason the reason that the leader gave
     * @param workerStopCause why runs of its worker are stopped, empty if not known
     * @param time when, in milliseconds
     */
    void release(RunId run, String reason, String workerStopCause, long time) {
        TaskTrace task = find(run);
        if (task == null) {
            return;
        }
        if (task.isActive(run.number())) {
            markStop(task, run.number(), workerStopCause);
            lose(task, LostRunCause.ofRelease(reason, task.getStopCause()), time);
        } else if (task.isDoneBy(run.number())) {
            revokeResult(task);
        }
    }

    /**
     * Records that the job is final.
     *
     * @param state the state
     * @param time when, in milliseconds
     * @param restored whether a new leader found this in the stored state; then an earlier line
     *     gives the time
     */
    void finish(JobState state, long time, boolean restored) {
        if (!(restored && isFinal())) {
            finalState = state;
            finalAt = time;
        }
    }

    /**
     * Summarizes the job. Runs that are active although the job is final count as lost.
     *
     * @param time when a job that is not final was last observed, in milliseconds
     * @return the summary
     */
    JobSummary summarize(long time) {
        List<Long> startSpreads = new ArrayList<>();
        List<Long> slowestWaits = new ArrayList<>();
        String slowestTask = "";
        long longestWait = -1;
        for (StepTrace step : steps.values()) {
            if (isFinal()) {
                loseActive(step);
            }
            startSpreads.add(step.getStartSpreadMillis());
            if (step.hasSlowestTask()) {
                long wait = step.getSlowestWaitMillis();
                slowestWaits.add(wait);
                slowestTask = wait > longestWait ? step.describeSlowest() : slowestTask;
                longestWait = Math.max(longestWait, wait);
            }
        }
        return new JobSummary(
                id,
                queue,
                finalState,
                receivedAt,
                Math.max(0, (isFinal() ? finalAt : time) - receivedAt),
                getFirstStartMillis(),
                getStepWaits(),
                startSpreads,
                slowestWaits,
                slowestTask,
                runs,
                lostRuns);
    }

    private long getFirstStartMillis() {
        return steps.values().stream()
                .mapToLong(step -> Math.max(0, step.getFirstStart() - receivedAt))
                .min()
                .orElse(JobSummary.NOT_STARTED);
    }

    /**
     * Gets the waits before the steps that began when all earlier steps of their repetition were
     * done. Repetitions begin when they are due, so that their first steps wait for none.
     */
    private List<Long> getStepWaits() {
        Map<Integer, List<StepTrace>> repetitions = new TreeMap<>();
        steps.forEach(
                (key, step) ->
                        repetitions
                                .computeIfAbsent(key.repetition(), number -> new ArrayList<>())
                                .add(step));
        List<Long> waits = new ArrayList<>();
        for (List<StepTrace> repetition : repetitions.values()) {
            repetition.sort(Comparator.comparingLong(StepTrace::getFirstStart));
            long idleSince = Long.MAX_VALUE;
            for (StepTrace step : repetition) {
                if (step.getFirstStart() >= idleSince) {
                    waits.add(step.getFirstStart() - idleSince);
                }
                if (!step.isDone()) {
                    break;
                }
                boolean first = idleSince == Long.MAX_VALUE;
                idleSince = first ? step.getDoneAt() : Math.max(idleSince, step.getDoneAt());
            }
        }
        return waits;
    }

    private void loseActive(StepTrace step) {
        for (TaskTrace task : step.getTasks()) {
            if (task.isActive()) {
                markStop(task, task.getActiveRun(), "");
                lose(task, LostRunCause.ofEnd(RunEndKind.STOPPED, task.getStopCause()), finalAt);
            }
        }
    }

    /** Runs that are active when their job is final are stopped for that reason. */
    private void markStop(TaskTrace task, int run, String cause) {
        task.markStop(run, isFinal() ? LostRunCause.ofJob(finalState) : cause);
    }

    private void lose(TaskTrace task, String cause, long time) {
        lostRuns.add(cause, 1, task.lose(time));
        lastChangeAt = time;
    }

    private void revokeResult(TaskTrace task) {
        lostRuns.add(LostRunCause.RESULT_NOT_STORED, 1, task.revokeResult());
        finalState = null;
    }

    private TaskTrace find(RunId run) {
        StepTrace step = steps.get(StepKey.of(run.task()));
        return step == null ? null : step.find(run.task());
    }

    // -----------------------------------------------------------------------
    JobId getId() {
        return id;
    }

    /** Checks whether the job is known to be stored. */
    boolean isAccepted() {
        return accepted;
    }

    boolean isFinal() {
        return finalState != null;
    }

    /** Gets when the job became final, in milliseconds; only valid if it is final. */
    long getFinalAt() {
        return finalAt;
    }

    /** Gets when a run last began or ended, or the job was received, in milliseconds. */
    long getLastChangeAt() {
        return lastChangeAt;
    }

    /** Gets the number of tasks that are kept in memory. */
    int getTaskCount() {
        return taskCount;
    }
}
