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
 * Runs one strategy on one scenario: four hours of decisions, five seconds a step.
 *
 * <p>What tasks really use, how long they run and how much they disturb is hidden from the
 * strategy, which sees only measurements that arrive late. It is no simulator of a cluster: nothing
 * fails and there are no messages; only the decisions are exercised.
 *
 * <p>{@code DecisionBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class DecisionBenchmark {

    /** The length of a step, in seconds. */
    private static final int STEP_SECONDS = 5;

    /** The steps of a run: four hours. */
    private static final int STEPS = 4 * 3600 / STEP_SECONDS;

    /** How many steps late a measurement arrives. */
    private static final int LAG = 3;

    /** The tasks that wait at any time. */
    private static final int WAITING = 60;

    /** The period of the load, in steps: one hour. */
    private static final double PERIOD = 3600.0 / STEP_SECONDS;

    /** The load levels. */
    private static final int LEVELS = 4;

    /** The team of all tasks. */
    private static final TeamId TEAM = TeamId.parse("team");

    /** The service on every worker. */
    private static final ServiceId SERVICE = ServiceId.parse("service");

    /** What is hidden of a batch class. */
    private record Hidden(
            String name,
            double declaredCores,
            double realCores,
            double seconds,
            double[] disturbs) {}

    /** A task that runs. */
    private static final class Running {

        private final TaskDemand demand;

        private final Hidden hidden;

        private final Resources granted;

        private final int worker;

        private int throttle = 100;

        private double left;

        private Running(
                TaskDemand demand, Hidden hidden, Resources granted, int worker, double left) {
            this.demand = demand;
            this.hidden = hidden;
            this.granted = granted;
            this.worker = worker;
            this.left = left;
        }

        private double speed() {
            double share = Math.min(1, granted.milliCores() / 1000.0 / hidden.realCores());
            return share * throttle / 100.0;
        }
    }

    /** A measurement on its way. */
    private record Late(int step, ServiceMeasurement measure, List<String> classes, int worker) {}

    /** The scenario. */
    private final Scenario scenario;

    /** The strategy. */
    private final Strategy strategy;

    /** Random numbers of the trace. */
    private final Random random;

    /** The batch classes. */
    private final List<Hidden> classes = new ArrayList<>();

    /** The tasks that wait, with what is left of them, in seconds. */
    private final Map<TaskDemand, Double> waiting = new HashMap<>();

    /** The class of each waiting task. */
    private final Map<TaskDemand, Hidden> hiddenOf = new HashMap<>();

    /** The tasks that run. */
    private final List<Running> running = new ArrayList<>();

    /** The measurements on their way. */
    private final Deque<Late> late = new ArrayDeque<>();

    /** All latencies, in percent of the target. */
    private final List<Double> latencies = new ArrayList<>();

    /** The number of the last task. */
    private int lastTask;

    /** Batch work done, in core-seconds. */
    private double work;

    /** Tasks stopped. */
    private int evictions;

    /** Seconds over capacity. */
    private int violations;

    /**
     * Constructor.
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
            double real = 0.5 + random.nextDouble() * 3;
            double[] disturbs = new double[LEVELS];
            double loudness = i % 3 == 0 ? 18 : 2.5;
            for (int level = 0; level < LEVELS; level++) {
                disturbs[level] = loudness * random.nextDouble() * (level + 1) / LEVELS;
            }
            double declared = Math.max(0.5, real * (0.4 + random.nextDouble() * 3));
            classes.add(
                    new Hidden("class-" + i, declared, real, 120 + random.nextInt(900), disturbs));
        }
    }

    /**
     * Runs the trace.
     *
     * @return what the strategy achieved
     */
    public DecisionResult run() {
        for (int step = 0; step < STEPS; step++) {
            addWaiting();
            plan(step);
            advance();
            measure(step);
            deliver(step);
        }
        double[] sorted = latencies.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        long misses = Arrays.stream(sorted).filter(latency -> latency > 100).count();
        return new DecisionResult(
                strategy.name(),
                100.0 * misses / sorted.length,
                sorted[(int) (sorted.length * 0.99)],
                work / 3600,
                evictions,
                violations);
    }

    // -----------------------------------------------------------------------
    private void addWaiting() {
        while (waiting.size() < WAITING) {
            Hidden hidden = classes.get(random.nextInt(classes.size()));
            TaskDemand demand =
                    new TaskDemand(
                            TaskId.of(JobId.parse("job-" + ++lastTask), 0),
                            TEAM,
                            hidden.name(),
                            Resources.ofCores(hidden.declaredCores(), 1000, 0),
                            false,
                            0,
                            -1,
                            Set.of(),
                            Set.of(),
                            Set.of());
            waiting.put(demand, hidden.seconds() * (0.5 + random.nextDouble()));
            hiddenOf.put(demand, hidden);
        }
    }

    private void plan(int step) {
        List<WorkerView> views = new ArrayList<>();
        for (int i = 0; i < scenario.workers(); i++) {
            views.add(view(i, step));
        }
        List<RunningTask> held = new ArrayList<>();
        for (Running task : running) {
            views.get(task.worker).addTask(task.demand.batchClass(), task.granted);
            held.add(asRunning(task));
        }
        for (WorkerView view : views) {
            violations += Resources.NONE.fitsIn(view.getFree()) ? 0 : STEP_SECONDS;
        }
        PlanningResult plan =
                new TaskPlanner(strategy.placement(), strategy.sizes(), 0)
                        .plan(
                                new ArrayList<>(waiting.keySet()),
                                views,
                                held,
                                new QuotaUsage(Map.of()));
        Map<TaskId, TaskDemand> byId = new HashMap<>();
        waiting.keySet().forEach(demand -> byId.put(demand.task(), demand));
        plan.placements().forEach((task, decision) -> start(byId.get(task), decision));
    }

    private void start(TaskDemand demand, PlacementDecision decision) {
        int worker = Integer.parseInt(decision.worker().toString().substring(3));
        Hidden hidden = hiddenOf.remove(demand);
        double left = waiting.remove(demand);
        running.add(new Running(demand, hidden, decision.resources(), worker, left));
    }

    private WorkerView view(int worker, int step) {
        return new WorkerView(
                VmId.parse("vm-" + worker),
                HallId.parse("hall-" + worker % 3),
                RackId.parse("rack-" + worker / 3),
                Resources.ofCores(scenario.cores(), scenario.memoryMegabytes(), 0),
                Resources.ofCores(scenario.serviceCores(), 1000, 0),
                List.of(new ServiceLoad(SERVICE, level(step - LAG))),
                true);
    }

    private static int level(int step) {
        double wave = 0.5 + 0.5 * Math.sin(2 * Math.PI * step / PERIOD);
        return Math.min(LEVELS - 1, (int) (wave * LEVELS));
    }

    private void advance() {
        for (Running task : List.copyOf(running)) {
            double seconds = STEP_SECONDS * task.speed();
            work += Math.min(seconds, task.left) * task.hidden.realCores();
            task.left -= seconds;
            if (task.left <= 0) {
                running.remove(task);
            }
        }
    }

    private void measure(int step) {
        for (int worker = 0; worker < scenario.workers(); worker++) {
            int level = level(step);
            double latency = 25 + 12 * level + 4 * random.nextGaussian();
            List<String> beside = new ArrayList<>();
            for (Running task : running) {
                if (task.worker == worker) {
                    latency += disturbance(task, level, step);
                    beside.add(task.demand.batchClass());
                    double used =
                            Math.min(task.granted.milliCores(), task.hidden.realCores() * 1000);
                    observeUsage(task, used);
                }
            }
            latencies.add(latency);
            ServiceMeasurement measure =
                    new ServiceMeasurement(
                            VmId.parse("vm-" + worker), new ServiceLoad(SERVICE, level), latency);
            late.add(new Late(step + LAG, measure, beside, worker));
        }
    }

    private double disturbance(Running task, int level, int step) {
        boolean wave = scenario.noisy() && (int) (step / (PERIOD / 6)) % 3 == 0;
        boolean loud = task.hidden.name().equals("class-1");
        double factor = wave && loud ? 6 : 1;
        return factor * task.hidden.disturbs()[level] * task.throttle / 100.0;
    }

    private void observeUsage(Running task, double milliCores) {
        // A task that is held at its grant wants more than can be seen.
        boolean held = milliCores >= task.granted.milliCores() * 0.98 && task.throttle == 100;
        double seen = held ? milliCores * 1.3 : milliCores;
        if (task.throttle == 100) {
            strategy.sizes()
                    .observe(task.demand.batchClass(), new Resources(Math.round(seen), 800, 0));
        }
    }

    private void deliver(int step) {
        while (!late.isEmpty() && late.peekFirst().step() <= step) {
            Late one = late.removeFirst();
            strategy.model()
                    .observe(one.measure().load(), one.classes(), one.measure().latencyPercent());
            List<RunningTask> beside =
                    running.stream()
                            .filter(task -> task.worker == one.worker())
                            .map(this::asRunning)
                            .toList();
            strategy.relief().relieve(one.measure(), beside).forEach(this::act);
        }
    }

    private RunningTask asRunning(Running task) {
        return new RunningTask(
                task.demand.task(),
                TEAM,
                task.demand.batchClass(),
                VmId.parse("vm-" + task.worker),
                task.granted,
                false,
                true,
                task.throttle,
                false,
                false);
    }

    private void act(ReliefAction action) {
        for (Running task : List.copyOf(running)) {
            if (!task.demand.task().equals(action.task())) {
                continue;
            }
            if (action.throttlePercent() > 0) {
                task.throttle = action.throttlePercent();
            } else {
                running.remove(task);
                evictions++;
                waiting.put(task.demand, task.left);
                hiddenOf.put(task.demand, task.hidden);
            }
        }
    }
}
