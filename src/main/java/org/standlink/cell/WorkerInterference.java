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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.standlink.job.StepDefinition;
import org.standlink.policy.InterferenceTable;

/**
 * The estimated interference of best-effort images with the serving runs of each worker. Results
 * are cached until the worker's tasks or the estimates change.
 *
 * <p>{@code WorkerInterference} is mutable and not thread-safe; it is confined to the leader's
 * event loop.
 */
final class WorkerInterference {

    private final InterferenceTable estimates;

    /** The results by worker; weak keys, so that removed workers do not accumulate. */
    private final Map<WorkerEntry, CachedResults> cache = new WeakHashMap<>();

    /** The cached results for one worker. */
    private static final class CachedResults {

        /** The version of the worker's tasks on which the results rest. */
        private final long taskVersion;

        /** The version of the estimates on which the results rest. */
        private final long version;

        /** The images of serving runs that have a target. */
        private final List<String> serving;

        /** The highest estimate for each best-effort image requested so far. */
        private final Map<String, Double> byImage = new HashMap<>();

        /**
         * The processors that best-effort runs request, weighted by their estimates, in thousandths
         * of a core; negative if not calculated yet.
         */
        private double pressure = -1;

        CachedResults(WorkerEntry worker, long version) {
            this.taskVersion = worker.getTaskVersion();
            this.version = version;
            this.serving =
                    worker.listTasks().stream()
                            .map(TaskEntry::getStep)
                            .filter(step -> step.longRunning() && step.targetMillis() > 0)
                            .map(StepDefinition::image)
                            .distinct()
                            .toList();
        }
    }

    WorkerInterference(InterferenceTable estimates) {
        this.estimates = estimates;
    }

    /**
     * Gets the estimated interference of a best-effort image with the serving runs of a worker.
     *
     * @param image the image
     * @param worker the worker
     * @return 0 for none, or if there are no serving runs with a target, to 1
     */
    double get(String image, WorkerEntry worker) {
        return get(image, getResults(worker));
    }

    /**
     * Gets the processors that best-effort runs on a worker request, weighted by their estimated
     * interference with the serving runs there.
     *
     * @param worker the worker
     * @return the weighted sum, in thousandths of a core
     */
    double getPressure(WorkerEntry worker) {
        CachedResults results = getResults(worker);
        if (results.pressure < 0) {
            results.pressure = 0;
            for (TaskEntry task : worker.listTasks()) {
                StepDefinition step = task.getStep();
                if (step.bestEffort()) {
                    results.pressure += step.demand().milliCores() * get(step.image(), results);
                }
            }
        }
        return results.pressure;
    }

    // -----------------------------------------------------------------------
    private CachedResults getResults(WorkerEntry worker) {
        long version = estimates.getVersion();
        CachedResults results = cache.get(worker);
        if (results == null
                || results.version != version
                || results.taskVersion != worker.getTaskVersion()) {
            results = new CachedResults(worker, version);
            cache.put(worker, results);
        }
        return results;
    }

    private double get(String image, CachedResults results) {
        return results.byImage.computeIfAbsent(
                image,
                key -> {
                    double max = 0;
                    for (String serving : results.serving) {
                        max = Math.max(max, estimates.get(serving, key));
                    }
                    return max;
                });
    }
}
