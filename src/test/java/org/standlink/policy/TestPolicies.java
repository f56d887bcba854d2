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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.standlink.HallId;
import org.standlink.RackId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;

/** Tests the policies one by one. */
public class TestPolicies {

    private static final ServiceLoad BUSY = new ServiceLoad(ServiceId.parse("registry"), 2);
    private static final VmId VM = VmId.parse("vm-1");

    private static WorkerView worker(int number, double cores, List<ServiceLoad> services) {
        return new WorkerView(
                VmId.parse("vm-" + number),
                HallId.parse("h"),
                RackId.parse("r"),
                Resources.ofCores(cores, 10_000, 0),
                Resources.NONE,
                services,
                true);
    }

    private static TaskDemand demand(String task, double cores, boolean urgent) {
        return new TaskDemand(
                TaskId.parse(task),
                TeamId.parse("t"),
                "scan",
                Resources.ofCores(cores, 100, 0),
                urgent,
                0,
                -1,
                Set.of(),
                Set.of(),
                Set.of());
    }

    private static RunningTask running(String task, int throttle) {
        return new RunningTask(
                TaskId.parse(task),
                TeamId.parse("t"),
                task.substring(0, task.indexOf('#')),
                VM,
                Resources.ofCores(1, 100, 0),
                false,
                true,
                throttle,
                false,
                false);
    }

    @Property(tries = 200, seed = "7")
    void neverPlacesMoreThanAWorkerHas(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<WorkerView> workers = List.of(worker(1, 8, List.of()), worker(2, 4, List.of(BUSY)));
        List<TaskDemand> demands = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            demands.add(demand("scan#" + i, sizes.get(i), i % 5 == 0));
        }
        SizeEstimator estimator = SizeEstimator.ofDeclared();
        PlacementPolicy placement =
                new InterferenceAwarePlacement(estimator, new LearnedInterference(), 1, 1);
        new TaskPlanner(placement, estimator, 0)
                .plan(demands, workers, List.of(), new QuotaUsage(Map.of()));
        for (WorkerView worker : workers) {
            assertTrue(Resources.NONE.fitsIn(worker.getFree()), worker.getFree().toString());
        }
    }

    @Test
    void learnsSizesInPlaceOfDeclarations() {
        LearnedSizes sizes = new LearnedSizes();
        Resources declared = Resources.ofCores(8, 8000, 2);
        assertEquals(declared, sizes.estimate("scan", declared));
        for (int i = 0; i < 100; i++) {
            sizes.observe("scan", Resources.ofCores(1, 500, 2));
        }
        Resources learned = sizes.estimate("scan", declared);
        assertTrue(learned.milliCores() < 1500, learned.toString());
        assertEquals(2, learned.accelerators());
    }

    @Test
    void learnsWhichClassInterferesAndForgets() {
        LearnedInterference model = new LearnedInterference();
        for (int i = 0; i < 300; i++) {
            model.observe(BUSY, List.of(), 40);
            model.observe(BUSY, List.of("loud"), 100);
            model.observe(BUSY, List.of("quiet"), 41);
            model.observe(BUSY, List.of("loud", "quiet"), 101);
        }
        assertEquals(60, model.estimateIncrease(BUSY, "loud"), 10);
        assertTrue(model.estimateIncrease(BUSY, "quiet") < 8);
        for (int i = 0; i < 300; i++) {
            model.observe(BUSY, List.of(), 40);
            model.observe(BUSY, List.of("loud"), 42);
        }
        assertTrue(model.estimateIncrease(BUSY, "loud") < 10);
    }

    @Test
    void throttlesBeforeItStopsAndDoesNotOscillate() {
        GradualRelief relief = new GradualRelief(new LearnedInterference());
        List<ReliefAction> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.addAll(
                    relief.relieve(
                            new ServiceMeasurement(VM, BUSY, 120),
                            List.of(running("a#0", 100), running("b#0", 100))));
        }
        assertFalse(all.isEmpty());
        assertTrue(all.stream().allMatch(action -> action.throttlePercent() == 50), all.toString());
        assertTrue(all.size() <= 2, "did not wait for delayed measurements: " + all);
        GradualRelief single = new GradualRelief(new LearnedInterference());
        assertTrue(
                single.relieve(new ServiceMeasurement(VM, BUSY, 300), List.of(running("a#0", 100)))
                        .isEmpty());
    }

    @Test
    void distinguishesFailingWorkersFromFailingJobs() {
        WorkerHealthPolicy health = new WorkerHealthPolicy();
        health.recordFailure(VM, TaskId.parse("a#0"), 0);
        health.recordFailure(VM, TaskId.parse("b#0"), 0);
        health.recordFailure(VM, TaskId.parse("a#1"), 0);
        assertFalse(health.isUsable(VM, 1));
        assertFalse(health.isSuspended(TaskId.parse("a#0").getJob()));
        assertTrue(health.isUsable(VM, 60_000), "probe is due");
        health.recordAssignment(VM);
        assertFalse(health.isUsable(VM, 60_001), "one probe at a time");
        health.recordSuccess(VM, TaskId.parse("b#0"));
        assertTrue(health.isUsable(VM, 60_002));
        for (int i = 2; i <= 4; i++) {
            health.recordFailure(VmId.parse("vm-" + i), TaskId.parse("c#0"), 0);
        }
        assertTrue(health.isSuspended(TaskId.parse("c#0").getJob()));
        assertTrue(health.isUsable(VmId.parse("vm-2"), 1));
    }

    @Test
    void ejectsFailingAndSlowUpstreamsButNeverAll() {
        OutlierDetector outliers = new OutlierDetector();
        for (int i = 1; i <= 4; i++) {
            for (int n = 0; n < 30; n++) {
                outliers.recordAnswer(VmId.parse("vm-" + i), i == 4 ? 100_000 : 1000, 0);
            }
        }
        assertFalse(outliers.isAllowed(VmId.parse("vm-4"), 1));
        for (int i = 1; i <= 3; i++) {
            for (int n = 0; n < 5; n++) {
                outliers.recordFailure(VmId.parse("vm-" + i), 0);
            }
        }
        long allowed =
                List.of(1, 2, 3, 4).stream()
                        .filter(i -> outliers.isAllowed(VmId.parse("vm-" + i), 1))
                        .count();
        assertEquals(2, allowed);
        assertTrue(outliers.isAllowed(VmId.parse("vm-4"), 2000), "probe is due");
        outliers.recordSend(VmId.parse("vm-4"), 2000);
        assertFalse(outliers.isAllowed(VmId.parse("vm-4"), 2001), "one probe at a time");
    }

    @Test
    void limitsConcurrencyAndRetries() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter();
        assertTrue(limiter.tryAcquire("k", 1));
        assertFalse(limiter.tryAcquire("k", 1));
        limiter.release("k");
        assertTrue(limiter.tryAcquire("k", 1));
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries >= 100 && retries <= 115, "retries: " + retries);
    }

    @Test
    void ordersUrgentThenSoonestAndNeverBlocksTheQueue() {
        SizeEstimator sizes = SizeEstimator.ofDeclared();
        TaskPlanner planner = new TaskPlanner(new FirstFitPlacement(sizes), sizes, 0);
        PlanningResult plan =
                planner.plan(
                        List.of(
                                demand("a#0", 100, false),
                                demand("b#0", 8, false),
                                demand("c#0", 8, true)),
                        List.of(worker(1, 8, List.of())),
                        List.of(),
                        new QuotaUsage(Map.of()));
        assertEquals(Set.of(TaskId.parse("c#0")), plan.placements().keySet());
        assertTrue(plan.waiting().get(TaskId.parse("a#0")).startsWith("can never run"));
    }

    @Test
    void enforcesTeamQuotas() {
        SizeEstimator sizes = SizeEstimator.ofDeclared();
        TaskPlanner planner = new TaskPlanner(new FirstFitPlacement(sizes), sizes, 0);
        QuotaUsage quotas =
                new QuotaUsage(Map.of(TeamId.parse("t"), Resources.ofCores(3, 1000, 0)));
        PlanningResult plan =
                planner.plan(
                        List.of(demand("a#0", 2, false), demand("a#1", 2, false)),
                        List.of(worker(1, 8, List.of())),
                        List.of(),
                        quotas);
        assertEquals(1, plan.placements().size());
        assertEquals(WaitingReason.OVER_QUOTA.toString(), plan.waiting().get(TaskId.parse("a#1")));
    }
}
