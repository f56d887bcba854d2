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
import org.standlink.job.RunProgress;
import org.standlink.job.StepDefinition;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.MessageChannel;

/**
 * Learns from the metrics of workers which images interfere with which, and provides the estimates
 * for agents.
 *
 * <p>{@code InterferenceLearner} is not thread-safe; it is confined to the leader's event loop.
 */
final class InterferenceLearner {

    /** The period that a worker's metrics cover, in milliseconds. */
    private static final long SAMPLE_MILLIS = 450;

    private final JobRegistry jobs;
    private final MonotonicClock clock;
    private final InterferenceTable table;

    /** The version of the estimates last sent to each agent. */
    private final Map<MessageChannel, Long> sentVersions = new WeakHashMap<>();

    InterferenceLearner(JobRegistry jobs, MonotonicClock clock, InterferenceTable table) {
        this.jobs = jobs;
        this.clock = clock;
        this.table = table;
    }

    /**
     * Updates the estimates from the metrics of a worker, once for each half second that the
     * metrics cover.
     *
     * @param worker the worker
     * @param running the runs that it reports
     */
    void learn(WorkerEntry worker, List<RunProgress> running) {
        if (!worker.getMetrics().beginSample(clock.nowMillis(), SAMPLE_MILLIS)) {
            return;
        }
        Map<String, Double> tailRatios = new HashMap<>();
        Map<String, Long> bestEffortUsage = new HashMap<>();
        for (RunProgress progress : running) {
            TaskEntry task = jobs.findTask(progress.run().task());
            if (task == null) {
                continue;
            }
            StepDefinition step = task.getStep();
            if (step.targetMillis() > 0) {
                tailRatios.merge(
                        step.image(), progress.measurement() / step.targetMillis(), Math::max);
            } else if (step.bestEffort()) {
                bestEffortUsage.merge(step.image(), progress.measurement(), Long::sum);
            }
        }
        worker.getMetrics()
                .setMaxTailRatio(
                        tailRatios.values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(0));
        tailRatios.forEach((image, ratio) -> table.observe(image, ratio, bestEffortUsage));
    }

    /**
     * Lists the estimates for an agent, if they have changed since they were last sent to it.
     *
     * @param agent the connection to the agent
     * @return the estimates, empty if they have not changed
     */
    List<InterferenceTable.Entry> listIfChanged(MessageChannel agent) {
        long version = table.getVersion();
        Long sentVersion = sentVersions.put(agent, version);
        return sentVersion != null && sentVersion == version ? List.of() : table.list();
    }
}
