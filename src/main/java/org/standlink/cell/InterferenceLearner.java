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
 * Learns from the figures of workers which images harm which, and tells agents what is believed.
 *
 * <p>{@code InterferenceLearner} is not thread-safe; the leader's loop owns it.
 */
final class InterferenceLearner {

    /** The time that a worker's figures cover, in milliseconds. */
    private static final long SAMPLE_MILLIS = 450;

    /** The jobs. */
    private final JobRegistry board;

    /** The clock. */
    private final MonotonicClock clock;

    /** What is believed of images. */
    private final InterferenceTable harm;

    /** Up to which change of it each agent has been told. */
    private final Map<MessageChannel, Long> told = new WeakHashMap<>();

    /**
     * Constructor.
     *
     * @param board the jobs
     * @param clock the clock
     * @param harm what is believed of images
     */
    InterferenceLearner(JobRegistry board, MonotonicClock clock, InterferenceTable harm) {
        this.board = board;
        this.clock = clock;
        this.harm = harm;
    }

    /**
     * Learns from the figures of a worker, once for each half second that they cover.
     *
     * @param worker the worker
     * @param running what runs there
     */
    void learn(WorkerEntry worker, List<RunProgress> running) {
        if (!worker.getMetrics().beginSample(clock.nowMillis(), SAMPLE_MILLIS)) {
            return;
        }
        Map<String, Double> tails = new HashMap<>();
        Map<String, Long> used = new HashMap<>();
        for (RunProgress progress : running) {
            TaskEntry task = board.findTask(progress.run().task());
            if (task == null) {
                continue;
            }
            StepDefinition step = task.getStep();
            if (step.targetMillis() > 0) {
                tails.merge(step.image(), progress.measurement() / step.targetMillis(), Math::max);
            } else if (step.bestEffort()) {
                used.merge(step.image(), progress.measurement(), Long::sum);
            }
        }
        worker.getMetrics()
                .setMaxTailRatio(
                        tails.values().stream().mapToDouble(Double::doubleValue).max().orElse(0));
        tails.forEach((image, ratio) -> harm.observe(image, ratio, used));
    }

    /**
     * Tells an agent what is believed of images, if that has changed since it was told last.
     *
     * @param agent the connection to the agent
     * @return the beliefs, empty if they have not changed
     */
    List<InterferenceTable.Entry> listIfChanged(MessageChannel agent) {
        long version = harm.getVersion();
        Long before = told.put(agent, version);
        return before != null && before == version ? List.of() : harm.list();
    }
}
