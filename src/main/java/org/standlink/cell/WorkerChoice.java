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

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.standlink.Resources;
import org.standlink.job.StepDefinition;

/**
 * Chooses workers for the tasks of a scheduling round, with weaker conditions for tasks that have
 * waited. It is known for which requirements no worker was found since the last assignment, so that
 * the workers are not examined again for each of hundreds of waiting jobs.
 *
 * <p>{@code WorkerChoice} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class WorkerChoice {

    /**
     * How long nothing of a job may run before its tasks accept any free capacity, despite
     * interference and throttling, in milliseconds. With three times as long, callers wait too long
     * while there is free capacity.
     */
    private static final long INTERFERENCE_WAIT_MILLIS = 1000;

    /**
     * How long nothing of a job may run, or a suspected task wait for isolation, before a task is
     * placed despite the risk of worker crashes, in milliseconds. Three seconds are too long for a
     * caller while there is free capacity.
     */
    private static final long CRASH_RISK_WAIT_MILLIS = 2500;

    private final Placement placement;

    /** The requirements for which no worker was found since the last assignment. */
    private final Set<Requirements> unplaceable = new HashSet<>();

    /** How weak the conditions are under which a worker is chosen. */
    private enum Conditions {
        ALL,
        ALLOWING_INTERFERENCE,
        ALLOWING_CRASH_RISK
    }

    /** What decides whether any worker can run a task that is not suspected of crashing workers. */
    private record Requirements(
            String service,
            Resources demand,
            String label,
            String image,
            boolean bestEffort,
            Conditions conditions) {}

    WorkerChoice(Placement placement) {
        this.placement = placement;
    }

    /** Forgets what was found; to be called when a round begins and after each assignment. */
    void reset() {
        unplaceable.clear();
    }

    /**
     * Chooses a worker.
     *
     * @param job the job
     * @param task its task
     * @param service the service whose workers run it
     * @param workers the workers that may be used
     * @param now the time on the leader's clock
     * @return the worker, null if the task has to wait
     */
    WorkerEntry choose(
            JobEntry job, TaskEntry task, String service, List<WorkerEntry> workers, long now) {
        WorkerEntry worker = chooseUnlessKnown(task, service, workers, Conditions.ALL);
        if (worker != null) {
            return worker;
        }
        // The wait of a suspected task for isolation also counts while other tasks of its job run.
        long waited = Math.max(job.recordStarvation(now), task.getTrial().recordIsolationWait(now));
        if (waited >= INTERFERENCE_WAIT_MILLIS) {
            worker = chooseUnlessKnown(task, service, workers, Conditions.ALLOWING_INTERFERENCE);
        }
        return worker == null && waited >= CRASH_RISK_WAIT_MILLIS
                ? chooseUnlessKnown(task, service, workers, Conditions.ALLOWING_CRASH_RISK)
                : worker;
    }

    /**
     * Checks whether a worker is suitable for a task, independently of all others.
     *
     * @param task the task
     * @param worker a worker that may be used
     * @return true if the task may be assigned to the worker
     */
    boolean isSuitable(TaskEntry task, WorkerEntry worker) {
        return choose(task, List.of(worker), Conditions.ALL) != null;
    }

    private WorkerEntry chooseUnlessKnown(
            TaskEntry task, String service, List<WorkerEntry> workers, Conditions conditions) {
        StepDefinition step = task.getStep();
        // Other tasks depend on more than the requirements: where the step runs, or on isolation.
        boolean comparable =
                step.maxPerWorker() == 0 && !task.getTrial().getCrashHistory().requiresIsolation();
        Requirements requirements =
                new Requirements(
                        service,
                        step.demand(),
                        step.requiredLabel(),
                        step.image(),
                        step.bestEffort(),
                        conditions);
        if (comparable && unplaceable.contains(requirements)) {
            return null;
        }
        WorkerEntry worker = choose(task, workers, conditions);
        if (comparable && worker == null) {
            unplaceable.add(requirements);
        }
        return worker;
    }

    private WorkerEntry choose(TaskEntry task, List<WorkerEntry> workers, Conditions conditions) {
        return switch (conditions) {
            case ALL -> placement.choose(task, workers);
            case ALLOWING_INTERFERENCE -> placement.chooseAllowingInterference(task, workers);
            case ALLOWING_CRASH_RISK ->
                    hasFreeHalf(workers) ? placement.chooseAllowingCrashRisk(task, workers) : null;
        };
    }

    /**
     * Checks whether at least half of the processors are free. With less, a job waits for capacity
     * as well as for isolation.
     */
    private static boolean hasFreeHalf(List<WorkerEntry> workers) {
        long capacity = 0;
        long free = 0;
        for (WorkerEntry worker : workers) {
            capacity += worker.getDescription().capacity().milliCores();
            free += worker.getFreeCapacity().milliCores();
        }
        return 2 * free >= capacity;
    }
}
