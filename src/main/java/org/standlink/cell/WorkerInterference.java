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
 * What best-effort images are believed to do to the serving runs of each worker. It is worked out
 * once for as long as neither the worker's tasks nor the beliefs change.
 *
 * <p>{@code WorkerInterference} is mutable and not thread-safe; the leader's loop owns it.
 */
final class WorkerInterference {

    /** What is believed of images. */
    private final InterferenceTable harm;

    /** What was worked out for each worker. */
    private final Map<WorkerEntry, View> views = new WeakHashMap<>();

    /** What was worked out for one worker. */
    private static final class View {

        /** The number of changes of the worker's tasks that it rests on. */
        private final long taskChanges;

        /** The version of the beliefs that it rests on. */
        private final long version;

        /** The images of serving runs that have a target. */
        private final List<String> serving;

        /** The worst belief of each best-effort image that was asked for. */
        private final Map<String, Double> byImage = new HashMap<>();

        /** The processors that best-effort runs there ask for, weighted by belief; or negative. */
        private double pressure = -1;

        View(WorkerEntry worker, long version) {
            this.taskChanges = worker.getTaskVersion();
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

    /**
     * Constructor.
     *
     * @param harm what is believed of images
     */
    WorkerInterference(InterferenceTable harm) {
        this.harm = harm;
    }

    /**
     * Gets how much a best-effort image is believed to harm the serving runs of a worker.
     *
     * @param image the image
     * @param worker the worker
     * @return 0 for not at all, or if nothing serves there, to 1
     */
    double get(String image, WorkerEntry worker) {
        return get(image, view(worker));
    }

    /**
     * Gets how many processors best-effort runs ask for that may harm the serving runs there.
     *
     * @param worker the worker
     * @return the sum in thousandths of a core, each weighted by what is believed
     */
    double getPressure(WorkerEntry worker) {
        View view = view(worker);
        if (view.pressure < 0) {
            view.pressure = 0;
            for (TaskEntry task : worker.listTasks()) {
                StepDefinition step = task.getStep();
                if (step.bestEffort()) {
                    view.pressure += step.demand().milliCores() * get(step.image(), view);
                }
            }
        }
        return view.pressure;
    }

    // -----------------------------------------------------------------------
    private View view(WorkerEntry worker) {
        long version = harm.getVersion();
        View known = views.get(worker);
        if (known == null
                || known.version != version
                || known.taskChanges != worker.getTaskVersion()) {
            known = new View(worker, version);
            views.put(worker, known);
        }
        return known;
    }

    private double get(String image, View view) {
        return view.byImage.computeIfAbsent(
                image,
                key -> {
                    double worst = 0;
                    for (String serving : view.serving) {
                        worst = Math.max(worst, harm.get(serving, key));
                    }
                    return worst;
                });
    }
}
