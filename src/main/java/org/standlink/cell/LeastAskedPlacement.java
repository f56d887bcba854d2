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

import java.util.Collection;
import org.standlink.Resources;
import org.standlink.job.StepDefinition;

/**
 * Chooses the worker with the most processors that nobody has asked for; a filling task waits when
 * there are none left for it.
 *
 * <p>{@code LeastAskedPlacement} is thread-safe and immutable.
 */
final class LeastAskedPlacement implements Placement {

    /** What a worker near the data is worth, in thousandths of a core. */
    private static final long NEAR_BONUS = 100_000;

    /** What a worker where the task failed last costs, in thousandths of a core. */
    private static final long FAILED_PENALTY = 1_000_000;

    /** How much a serving task seeks others, for each core that they ask for. */
    private static final long TOGETHER_WEIGHT = 4;

    /** How much a filling task avoids serving ones, for each core that they ask for. */
    private static final long APART_WEIGHT = 4;

    /** The share of their processors that serving tasks use, in hundredths; the sheets say 42. */
    private static final long SERVING_PERCENT = 60;

    /** The share of a filling task's wish that must be free for it to start, in hundredths. */
    private static final long FILLING_PERCENT = 70;

    @Override
    public WorkerEntry choose(TaskEntry task, Collection<WorkerEntry> workers) {
        WorkerEntry best = null;
        long bestScore = Long.MIN_VALUE;
        for (WorkerEntry worker : workers) {
            if (!Placement.isAllowed(task, worker)) {
                continue;
            }
            long idle = idleMilliCores(worker);
            if (task.getStep().filling() && idle < wanted(task.getStep(), worker)) {
                continue;
            }
            long score = score(task, worker, idle);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    // -----------------------------------------------------------------------
    private static long wanted(StepDefinition step, WorkerEntry worker) {
        Resources capacity = worker.getDescription().capacity();
        long wish = Math.min(step.demand().milliCores(), capacity.milliCores());
        return wish * FILLING_PERCENT / 100;
    }

    private static long idleMilliCores(WorkerEntry worker) {
        long idle = worker.getDescription().capacity().milliCores();
        for (TaskEntry task : worker.listTasks()) {
            StepDefinition step = task.getStep();
            long asked = step.demand().milliCores();
            idle -= step.perpetual() ? asked * SERVING_PERCENT / 100 : asked;
        }
        return idle;
    }

    private static long servingMilliCores(WorkerEntry worker) {
        return worker.listTasks().stream()
                .map(TaskEntry::getStep)
                .filter(StepDefinition::perpetual)
                .mapToLong(step -> step.demand().milliCores())
                .sum();
    }

    /**
     * Serving tasks are put together, and filling ones where nobody serves, since the one disturbs
     * the other.
     */
    private static long apartScore(StepDefinition step, WorkerEntry worker) {
        long serving = servingMilliCores(worker);
        if (step.perpetual()) {
            return serving * TOGETHER_WEIGHT;
        }
        return step.filling() ? -serving * APART_WEIGHT : 0;
    }

    private static long score(TaskEntry task, WorkerEntry worker, long idle) {
        String rack = task.getStep().dataRack();
        boolean near = !rack.isEmpty() && worker.getDescription().labels().contains(rack);
        boolean failedHere = worker.getId().equals(task.getFailedOn());
        long apart = apartScore(task.getStep(), worker);
        return idle + apart + (near ? NEAR_BONUS : 0) - (failedHere ? FAILED_PENALTY : 0);
    }
}
