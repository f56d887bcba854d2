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
package org.standlink.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.RackId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.policy.PlacementDecision;
import org.standlink.policy.PlanningResult;
import org.standlink.policy.QuotaUsage;
import org.standlink.policy.ReliefAction;
import org.standlink.policy.RunningTask;
import org.standlink.policy.ServiceLoad;
import org.standlink.policy.ServiceMeasurement;
import org.standlink.policy.TaskDemand;
import org.standlink.policy.TaskPlanner;
import org.standlink.policy.WorkerView;

/**
 * Runs one strategy on one scenario: four hours of decisions in steps of five seconds.
 *
 * <p>The actual resource usage, run times and interference of tasks are hidden from the strategy,
 * which sees only delayed measurements. This is not a cluster simulator: nothing fails and there
 * are no messages; only the decisions are exercised.
 *
 * <p>{@code DecisionBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class DecisionBenchmark {

    private static final int STEP_SECONDS = 5;

    /** The number of steps in a run: four hours. */
    private static final int STEPS = 4 * 3600 / STEP_SECONDS;

    /** The delay of a measurement, in steps. */
    private static final int MEASUREMENT_DELAY_STEPS = 3;

    /** The number of tasks that are kept waiting at any time. */
    private static final int WAITING_TASKS = 60;

    /** The period of the service load, in steps: one hour. */
    private static final double LOAD_PERIOD_STEPS = 3600.0 / STEP_SECONDS;

    /** The number of load levels. */
    private static final int LOAD_LEVELS = 4;

    /** The team of all tasks. */
    private static final TeamId TEAM = TeamId.parse("team");

    /** The service on every worker. */
    private static final ServiceId SERVICE = ServiceId.parse("service");

    /** The actual behaviour of a batch class, which is hidden from the strategy. */
    private record ActualBehaviour(
            String name,
            double declaredCores,
            double actualCores,
            double meanRunSeconds,
            double[] latencyIncreases) {}

    /** A running task. */
    private static final class ActiveTask {

        private final TaskDemand demand;

        private final ActualBehaviour behaviour;

        private final Resources granted;

        private final int worker;

        private int throttlePercent = 100;

        private double remainingSeconds;

        private ActiveTask(
                TaskDemand demand,
                ActualBehaviour behaviour,
                Resources granted,
                int worker,
                double remainingSeconds) {
            this.demand = demand;
            this.behaviour = behaviour;
            this.granted = granted;
            this.worker = worker;
            this.remainingSeconds = remainingSeconds;
        }

        private double getSpeed() {
            double share = Math.min(1, granted.milliCores() / 1000.0 / behaviour.actualCores());
            return share * throttlePercent / 100.0;
        }
    }

    /** A measurement that the strategy receives at a later step. */
    private record DelayedMeasurement(
            int dueStep, ServiceMeasurement measurement, List<String> batchClasses, int worker) {}

    private final Scenario scenario;

    private final Strategy strategy;

    /** The source of the random numbers of the trace. */
    private final Random random;

    /** The behaviour of each batch class. */
    private final List<ActualBehaviour> behaviours = new ArrayList<>();

    /** The waiting tasks with their remaining run times at full speed, in seconds. */
    private final Map<TaskDemand, Double> waiting = new HashMap<>();

    /** The behaviour of each waiting task. */
    private final Map<TaskDemand, ActualBehaviour> waitingBehaviours = new HashMap<>();

    private final List<ActiveTask> running = new ArrayList<>();

    /** The measurements that the strategy has not received, in the order of their steps. */
    private final Deque<DelayedMeasurement> delayedMeasurements = new ArrayDeque<>();

    /** The measured latencies, in percent of the target. */
    private final List<Double> latencies = new ArrayList<>();

    private int lastTaskNumber;

    /** The batch work done, in core-seconds. */
    private double coreSeconds;

    /** The number of evicted tasks. */
    private int evictions;

    /** The time over capacity, summed over the workers, in seconds. */
    private int overCapacitySeconds;

    /**
     * Creates a run.
     *
     * @param scenario the scenario
     * @param strategy the strategy, not used before
     * @param seed the seed of the trace
     */
    public DecisionBenchmark(Scenario scenario, Strategy strategy, long seed) {
        this.scenario = scenario;
        this.strategy = strategy;
        this.random = new Random(seed);
        for (int i = 0; i < 8; i++) {
            double actualCores = 0.5 + random.nextDouble() * 3;
            double[] latencyIncreases = new double[LOAD_LEVELS];
            double maxIncrease = i % 3 == 0 ? 18 : 2.5;
            for (int level = 0; level < LOAD_LEVELS; level++) {
                latencyIncreases[level] =
                        maxIncrease * random.nextDouble() * (level + 1) / LOAD_LEVELS;
            }
            double declaredCores = Math.max(0.5, actualCores * (0.4 + random.nextDouble() * 3));
            behaviours.add(
                    new ActualBehaviour(
                            "class-" + i,
                            declaredCores,
                            actualCores,
                            120 + random.nextInt(900),
                            latencyIncreases));
        }
    }

    /**
     * Runs the trace.
     *
     * @return the result of the strategy
     */
    public DecisionResult run() {
        for (int step = 0; step < STEPS; step++) {
            fillQueue();
            plan(step);
            advanceTasks();
            measure(step);
            deliverMeasurements(step);
        }
        double[] sorted = latencies.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        long misses = Arrays.stream(sorted).filter(latency -> latency > 100).count();
        return new DecisionResult(
                strategy.name(),
                100.0 * misses / sorted.length,
                sorted[(int) (sorted.length * 0.99)],
                coreSeconds / 3600,
                evictions,
                overCapacitySeconds);
    }

    // -----------------------------------------------------------------------
    private void fillQueue() {
        while (waiting.size() < WAITING_TASKS) {
            ActualBehaviour behaviour = behaviours.get(random.nextInt(behaviours.size()));
            TaskDemand demand =
                    new TaskDemand(
                            TaskId.of(JobId.parse("job-" + ++lastTaskNumber), 0),
                            TEAM,
                            behaviour.name(),
                            Resources.ofCores(behaviour.declaredCores(), 1000, 0),
                            false,
                            0,
                            -1,
                            Set.of(),
                            Set.of(),
                            Set.of());
            waiting.put(demand, behaviour.meanRunSeconds() * (0.5 + random.nextDouble()));
            waitingBehaviours.put(demand, behaviour);
        }
    }

    private void plan(int step) {
        List<WorkerView> views = new ArrayList<>();
        for (int i = 0; i < scenario.workers(); i++) {
            views.add(createView(i, step));
        }
        List<RunningTask> runningTasks = new ArrayList<>();
        for (ActiveTask task : running) {
            views.get(task.worker).addTask(task.demand.batchClass(), task.granted);
            runningTasks.add(toRunningTask(task));
        }
        for (WorkerView view : views) {
            overCapacitySeconds += Resources.NONE.fitsIn(view.getFree()) ? 0 : STEP_SECONDS;
        }
        PlanningResult plan =
                new TaskPlanner(strategy.placement(), strategy.sizes(), 0)
                        .plan(
                                new ArrayList<>(waiting.keySet()),
                                views,
                                runningTasks,
                                new QuotaUsage(Map.of()));
        Map<TaskId, TaskDemand> byId = new HashMap<>();
        waiting.keySet().forEach(demand -> byId.put(demand.task(), demand));
        plan.placements().forEach((task, decision) -> start(byId.get(task), decision));
    }

    private void start(TaskDemand demand, PlacementDecision decision) {
        int worker = Integer.parseInt(decision.worker().toString().substring(3));
        ActualBehaviour behaviour = waitingBehaviours.remove(demand);
        double remainingSeconds = waiting.remove(demand);
        running.add(
                new ActiveTask(demand, behaviour, decision.resources(), worker, remainingSeconds));
    }

    private WorkerView createView(int worker, int step) {
        return new WorkerView(
                VmId.parse("vm-" + worker),
                HallId.parse("hall-" + worker % 3),
                RackId.parse("rack-" + worker / 3),
                Resources.ofCores(scenario.cores(), scenario.memoryMegabytes(), 0),
                Resources.ofCores(scenario.serviceCores(), 1000, 0),
                List.of(new ServiceLoad(SERVICE, getLoadLevel(step - MEASUREMENT_DELAY_STEPS))),
                true);
    }

    private static int getLoadLevel(int step) {
        double wave = 0.5 + 0.5 * Math.sin(2 * Math.PI * step / LOAD_PERIOD_STEPS);
        return Math.min(LOAD_LEVELS - 1, (int) (wave * LOAD_LEVELS));
    }

    private void advanceTasks() {
        for (ActiveTask task : List.copyOf(running)) {
            double seconds = STEP_SECONDS * task.getSpeed();
            coreSeconds += Math.min(seconds, task.remainingSeconds) * task.behaviour.actualCores();
            task.remainingSeconds -= seconds;
            if (task.remainingSeconds <= 0) {
                running.remove(task);
            }
        }
    }

    private void measure(int step) {
        for (int worker = 0; worker < scenario.workers(); worker++) {
            int level = getLoadLevel(step);
            double latency = 25 + 12 * level + 4 * random.nextGaussian();
            List<String> colocated = new ArrayList<>();
            for (ActiveTask task : running) {
                if (task.worker == worker) {
                    latency += computeInterference(task, level, step);
                    colocated.add(task.demand.batchClass());
                    double usedMilliCores =
                            Math.min(
                                    task.granted.milliCores(), task.behaviour.actualCores() * 1000);
                    observeUsage(task, usedMilliCores);
                }
            }
            latencies.add(latency);
            ServiceMeasurement measurement =
                    new ServiceMeasurement(
                            VmId.parse("vm-" + worker), new ServiceLoad(SERVICE, level), latency);
            delayedMeasurements.add(
                    new DelayedMeasurement(
                            step + MEASUREMENT_DELAY_STEPS, measurement, colocated, worker));
        }
    }

    private double computeInterference(ActiveTask task, int level, int step) {
        boolean isNoisyPeriod = scenario.noisy() && (int) (step / (LOAD_PERIOD_STEPS / 6)) % 3 == 0;
        boolean isNoisyClass = task.behaviour.name().equals("class-1");
        double factor = isNoisyPeriod && isNoisyClass ? 6 : 1;
        return factor * task.behaviour.latencyIncreases()[level] * task.throttlePercent / 100.0;
    }

    private void observeUsage(ActiveTask task, double milliCores) {
        // The demand of a task that is limited by its grant exceeds its observed usage.
        boolean limited =
                milliCores >= task.granted.milliCores() * 0.98 && task.throttlePercent == 100;
        double estimatedMilliCores = limited ? milliCores * 1.3 : milliCores;
        if (task.throttlePercent == 100) {
            strategy.sizes()
                    .observe(
                            task.demand.batchClass(),
                            new Resources(Math.round(estimatedMilliCores), 800, 0));
        }
    }

    private void deliverMeasurements(int step) {
        while (!delayedMeasurements.isEmpty()
                && delayedMeasurements.peekFirst().dueStep() <= step) {
            DelayedMeasurement delayed = delayedMeasurements.removeFirst();
            strategy.model()
                    .observe(
                            delayed.measurement().load(),
                            delayed.batchClasses(),
                            delayed.measurement().latencyPercent());
            List<RunningTask> colocated =
                    running.stream()
                            .filter(task -> task.worker == delayed.worker())
                            .map(this::toRunningTask)
                            .toList();
            strategy.relief().relieve(delayed.measurement(), colocated).forEach(this::applyAction);
        }
    }

    private RunningTask toRunningTask(ActiveTask task) {
        return new RunningTask(
                task.demand.task(),
                TEAM,
                task.demand.batchClass(),
                VmId.parse("vm-" + task.worker),
                task.granted,
                false,
                true,
                task.throttlePercent,
                false,
                false);
    }

    private void applyAction(ReliefAction action) {
        for (ActiveTask task : List.copyOf(running)) {
            if (!task.demand.task().equals(action.task())) {
                continue;
            }
            if (action.throttlePercent() > 0) {
                task.throttlePercent = action.throttlePercent();
            } else {
                running.remove(task);
                evictions++;
                waiting.put(task.demand, task.remainingSeconds);
                waitingBehaviours.put(task.demand, task.behaviour);
            }
        }
    }
}
