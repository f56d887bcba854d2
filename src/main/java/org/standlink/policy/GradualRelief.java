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
 * Throttles the task that interferes most, then the next, and stops a task only when throttling has
 * not helped for a while.
 *
 * <p>The policy acts only after several consecutive measurements near or above the target and
 * pauses after each action, since measurements are delayed. It raises the processor shares again
 * only well below the target, one step at a time. Noisy measurements thus cause throttling rather
 * than oscillating evictions.
 *
 * <p>{@code GradualRelief} is mutable and not thread-safe; callers must synchronise access.
 */
public final class GradualRelief implements ReliefPolicy {

    /**
     * The tail latency above which a measurement counts towards relief, in percent of the target.
     */
    private static final double RELIEF_THRESHOLD_PERCENT = 95;

    /**
     * The tail latency below which a measurement counts towards recovery, in percent of the target.
     */
    private static final double RECOVERY_THRESHOLD_PERCENT = 80;

    /** The number of consecutive high measurements that cause relief. */
    private static final int RELIEF_MEASUREMENTS = 2;

    /** The number of consecutive low measurements that cause recovery. */
    private static final int RECOVERY_MEASUREMENTS = 2;

    /** The number of measurements ignored after an action, because they are delayed. */
    private static final int SETTLING_MEASUREMENTS = 3;

    /** The processor shares of a task, from unthrottled to most throttled, in percent. */
    private static final int[] SHARES_PERCENT = {100, 50, 25};

    /** The number of throttling actions without success before a task is stopped. */
    private static final int ACTIONS_BEFORE_STOP = 3;

    private final InterferenceModel model;
    private final Map<VmId, VmState> states = new HashMap<>();

    /** The recent measurements and actions of one VM. */
    private static final class VmState {

        /** The number of consecutive high measurements. */
        private int highCount;

        /** The number of consecutive low measurements. */
        private int lowCount;

        /** The number of measurements still to be ignored. */
        private int measurementsToIgnore;

        /** The number of relief actions since the last low measurement or stopped task. */
        private int actions;
    }

    /**
     * Creates a relief policy.
     *
     * @param model estimates how much each task interferes
     */
    public GradualRelief(InterferenceModel model) {
        this.model = model;
    }

    @Override
    public List<ReliefAction> relieve(ServiceMeasurement measurement, List<RunningTask> colocated) {
        VmState state = states.computeIfAbsent(measurement.worker(), key -> new VmState());
        updateCounts(state, measurement.latencyPercent());
        if (state.measurementsToIgnore > 0) {
            state.measurementsToIgnore--;
            return List.of();
        }
        Optional<ReliefAction> action = Optional.empty();
        if (state.highCount >= RELIEF_MEASUREMENTS) {
            action = throttleOrStop(state, measurement, colocated);
        } else if (state.lowCount >= RECOVERY_MEASUREMENTS) {
            action = raiseShare(measurement, colocated);
        }
        if (action.isPresent()) {
            state.measurementsToIgnore = SETTLING_MEASUREMENTS;
            state.highCount = 0;
            state.lowCount = 0;
        }
        return action.map(List::of).orElse(List.of());
    }

    // -----------------------------------------------------------------------
    private static void updateCounts(VmState state, double latencyPercent) {
        state.highCount = latencyPercent > RELIEF_THRESHOLD_PERCENT ? state.highCount + 1 : 0;
        state.lowCount = latencyPercent < RECOVERY_THRESHOLD_PERCENT ? state.lowCount + 1 : 0;
        if (state.lowCount > 0) {
            state.actions = 0;
        }
    }

    private Optional<ReliefAction> throttleOrStop(
            VmState state, ServiceMeasurement measurement, List<RunningTask> colocated) {
        Comparator<RunningTask> byIncrease =
                Comparator.comparingDouble(
                        task -> model.estimateIncrease(measurement.load(), task.batchClass()));
        state.actions++;
        if (state.actions <= ACTIONS_BEFORE_STOP) {
            Optional<RunningTask> candidate =
                    colocated.stream()
                            .filter(GradualRelief::isRunning)
                            .filter(task -> nextLowerShare(task.throttlePercent()) > 0)
                            .max(byIncrease);
            if (candidate.isPresent()) {
                int share = nextLowerShare(candidate.get().throttlePercent());
                return Optional.of(new ReliefAction(candidate.get().task(), share));
            }
        }
        state.actions = 0;
        return colocated.stream()
                .filter(GradualRelief::isRunning)
                .max(Comparator.comparing(RunningTask::checkpointable).thenComparing(byIncrease))
                .map(task -> new ReliefAction(task.task(), 0));
    }

    private Optional<ReliefAction> raiseShare(
            ServiceMeasurement measurement, List<RunningTask> colocated) {
        return colocated.stream()
                .filter(GradualRelief::isRunning)
                .filter(task -> task.throttlePercent() < SHARES_PERCENT[0])
                .min(
                        Comparator.comparingDouble(
                                task ->
                                        model.estimateIncrease(
                                                measurement.load(), task.batchClass())))
                .map(
                        task ->
                                new ReliefAction(
                                        task.task(), nextHigherShare(task.throttlePercent())));
    }

    private static boolean isRunning(RunningTask task) {
        return !task.stopping() && !task.queued();
    }

    private static int nextLowerShare(int percent) {
        for (int share : SHARES_PERCENT) {
            if (share < percent) {
                return share;
            }
        }
        return 0;
    }

    private static int nextHigherShare(int percent) {
        for (int i = SHARES_PERCENT.length - 1; i >= 0; i--) {
            if (SHARES_PERCENT[i] > percent) {
                return SHARES_PERCENT[i];
            }
        }
        return SHARES_PERCENT[0];
    }
}
