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

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.standlink.HallId;
import org.standlink.RackId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.policy.FirstFitPlacement;
import org.standlink.policy.InterferenceAwarePlacement;
import org.standlink.policy.LearnedInterference;
import org.standlink.policy.LearnedSizes;
import org.standlink.policy.PlacementPolicy;
import org.standlink.policy.ServiceLoad;
import org.standlink.policy.SizeEstimator;
import org.standlink.policy.TaskDemand;
import org.standlink.policy.WorkerView;

/**
 * Measures the rate of placement decisions on one core, in a loop after a warm-up.
 *
 * <p>{@code PlacementCost} is thread-safe and immutable.
 */
public final class PlacementCost {

    /** The duration of each loop, in nanoseconds. */
    private static final long LOOP_NANOS = 700_000_000L;

    /** The number of tasks on each worker, next to its service. */
    private static final int TASKS_PER_WORKER = 20;

    private PlacementCost() {}

    /**
     * Measures the rates for one size of a cell.
     *
     * @param count the number of workers
     * @return the result in one line
     */
    public static String measure(int count) {
        LearnedInterference model = new LearnedInterference();
        ServiceLoad load = new ServiceLoad(ServiceId.parse("service"), 2);
        for (int i = 0; i < 8; i++) {
            model.observe(load, List.of("class-" + i), 50 + i);
        }
        PlacementPolicy interferenceAware =
                new InterferenceAwarePlacement(new LearnedSizes(), model, 1, 1);
        PlacementPolicy firstFit = new FirstFitPlacement(SizeEstimator.ofDeclared());
        List<WorkerView> workers = createWorkers(count, load);
        measureRate(interferenceAware, workers);
        measureRate(firstFit, workers);
        double interferenceAwareRate = measureRate(interferenceAware, workers);
        double firstFitRate = measureRate(firstFit, workers);
        return String.format(
                "%5d workers: %9.0f decisions/s, first fit %9.0f, ratio %.2f",
                count, interferenceAwareRate, firstFitRate, interferenceAwareRate / firstFitRate);
    }

    private static List<WorkerView> createWorkers(int count, ServiceLoad load) {
        List<WorkerView> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WorkerView worker =
                    new WorkerView(
                            VmId.parse("vm-" + i),
                            HallId.parse("hall-" + i % 15),
                            RackId.parse("rack-" + i / 3),
                            Resources.ofCores(32, 125_000, 0),
                            Resources.ofCores(8, 16_000, 0),
                            List.of(load),
                            true);
            for (int n = 0; n < TASKS_PER_WORKER; n++) {
                worker.addTask("class-" + n % 8, Resources.ofCores(0.5, 1000, 0));
            }
            workers.add(worker);
        }
        return workers;
    }

    private static double measureRate(PlacementPolicy policy, List<WorkerView> workers) {
        TaskDemand demand =
                new TaskDemand(
                        TaskId.parse("job#0"),
                        TeamId.parse("team"),
                        "class-1",
                        Resources.ofCores(1, 1000, 0),
                        false,
                        0,
                        -1,
                        Set.of(),
                        Set.of(),
                        Set.of());
        long start = System.nanoTime();
        long decisions = 0;
        while (System.nanoTime() - start < LOOP_NANOS) {
            for (int i = 0; i < 8; i++) {
                policy.place(demand, workers);
                decisions++;
            }
        }
        return decisions * 1e9 / (System.nanoTime() - start);
    }
}
