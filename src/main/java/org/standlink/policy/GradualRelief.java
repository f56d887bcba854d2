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
package org.standlink.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.standlink.VmId;

/**
 * Throttles the task that disturbs most, then the next, and stops one only when throttling did not
 * help for a while.
 *
 * <p>It acts only after several measurements above the target in a row and waits after each act,
 * since measurements are late. It gives processors back, one step at a time, only well below the
 * target. So a noisy wave costs throttling rather than swinging evictions.
 *
 * <p>{@code GradualRelief} is mutable and not thread-safe; its owner guards it.
 */
public final class GradualRelief implements ReliefPolicy {

    /** Above this a measurement speaks for relief, in percent of the target. */
    private static final double HIGH = 95;

    /** Below this a measurement speaks for giving back, in percent of the target. */
    private static final double LOW = 80;

    /** How many measurements in a row bring relief. */
    private static final int HIGH_IN_ROW = 2;

    /** How many measurements in a row give back. */
    private static final int LOW_IN_ROW = 2;

    /** How many measurements are passed over after an act, because they are late. */
    private static final int SETTLE = 3;

    /** The steps of throttling, in percent of the processors. */
    private static final int[] STEPS = {100, 50, 25};

    /** How many relief acts without an end to the trouble come before a task is stopped. */
    private static final int ACTS_BEFORE_STOP = 3;

    /** Learned interference. */
    private final InterferenceModel model;

    /** What was seen of each VM. */
    private final Map<VmId, Seen> seen = new HashMap<>();

    /** What was seen of a VM. */
    private static final class Seen {

        /** Measurements above the high mark in a row. */
        private int high;

        /** Measurements below the low mark in a row. */
        private int low;

        /** Measurements still to pass over. */
        private int settling;

        /** Relief acts since the trouble began. */
        private int acts;
    }

    /**
     * Constructor.
     *
     * @param model learned interference
     */
    public GradualRelief(InterferenceModel model) {
        this.model = model;
    }

    @Override
    public List<ReliefAction> relieve(ServiceMeasurement measure, List<RunningTask> beside) {
        Seen here = seen.computeIfAbsent(measure.worker(), key -> new Seen());
        count(here, measure.latencyPercent());
        if (here.settling > 0) {
            here.settling--;
            return List.of();
        }
        Optional<ReliefAction> action = Optional.empty();
        if (here.high >= HIGH_IN_ROW) {
            action = tighten(here, measure, beside);
        } else if (here.low >= LOW_IN_ROW) {
            action = giveBack(measure, beside);
        }
        if (action.isPresent()) {
            here.settling = SETTLE;
            here.high = 0;
            here.low = 0;
        }
        return action.map(List::of).orElse(List.of());
    }

    // -----------------------------------------------------------------------
    private static void count(Seen here, double latencyPercent) {
        here.high = latencyPercent > HIGH ? here.high + 1 : 0;
        here.low = latencyPercent < LOW ? here.low + 1 : 0;
        if (here.low > 0) {
            here.acts = 0;
        }
    }

    private Optional<ReliefAction> tighten(
            Seen here, ServiceMeasurement measure, List<RunningTask> beside) {
        Comparator<RunningTask> byShare =
                Comparator.comparingDouble(
                        task -> model.estimateIncrease(measure.load(), task.batchClass()));
        here.acts++;
        if (here.acts <= ACTS_BEFORE_STOP) {
            Optional<RunningTask> target =
                    beside.stream()
                            .filter(GradualRelief::isRunning)
                            .filter(task -> stepDown(task.throttlePercent()) > 0)
                            .max(byShare);
            if (target.isPresent()) {
                int step = stepDown(target.get().throttlePercent());
                return Optional.of(new ReliefAction(target.get().task(), step));
            }
        }
        here.acts = 0;
        return beside.stream()
                .filter(GradualRelief::isRunning)
                .max(Comparator.comparing(RunningTask::checkpointable).thenComparing(byShare))
                .map(task -> new ReliefAction(task.task(), 0));
    }

    private Optional<ReliefAction> giveBack(ServiceMeasurement measure, List<RunningTask> beside) {
        return beside.stream()
                .filter(GradualRelief::isRunning)
                .filter(task -> task.throttlePercent() < STEPS[0])
                .min(
                        Comparator.comparingDouble(
                                task -> model.estimateIncrease(measure.load(), task.batchClass())))
                .map(task -> new ReliefAction(task.task(), stepUp(task.throttlePercent())));
    }

    private static boolean isRunning(RunningTask task) {
        return !task.stopping() && !task.queued();
    }

    private static int stepDown(int percent) {
        for (int step : STEPS) {
            if (step < percent) {
                return step;
            }
        }
        return 0;
    }

    private static int stepUp(int percent) {
        for (int i = STEPS.length - 1; i >= 0; i--) {
            if (STEPS[i] > percent) {
                return STEPS[i];
            }
        }
        return STEPS[0];
    }
}
