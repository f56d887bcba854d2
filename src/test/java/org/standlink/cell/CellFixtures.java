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

import java.util.List;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.admission.AdmissionListener;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.KeyedStore;
import org.standlink.store.WriterId;

/** Provides jobs, workers, leaders and a configuration for tests. */
final class CellFixtures {

    /** A configuration with one queue, whose tasks fail permanently at the second failed run. */
    static final Configuration CONFIGURATION =
            new Configuration(
                    1,
                    List.of(new QueueDefinition("q", "h", "/q/", "s", 0, 2, 250, 1.5, false)),
                    List.of(),
                    1000);

    private CellFixtures() {}

    /**
     * Creates a job with one step for each count of tasks, each step depending on the one before.
     */
    static JobDefinition job(String id, int... counts) {
        StepDefinition[] steps = new StepDefinition[counts.length];
        for (int i = 0; i < counts.length; i++) {
            List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
            steps[i] = step(counts[i], after, 0, false);
        }
        return of(id, steps);
    }

    static JobDefinition of(String id, StepDefinition... steps) {
        return new JobDefinition(JobId.parse(id), "q", "text", List.of(steps), 0, 0, 0);
    }

    static StepDefinition step(
            int count, List<Integer> after, int maxPerWorker, boolean longRunning) {
        return new StepDefinition(
                count,
                new Resources(1000, 100, 0),
                500,
                after,
                false,
                false,
                false,
                "",
                "",
                maxPerWorker,
                false,
                longRunning,
                "",
                0,
                false,
                0);
    }

    static StepDefinition bestEffort(String image, int cores) {
        return of(image, cores, 0, true, false);
    }

    static StepDefinition serving(String image, int cores) {
        return of(image, cores, 20, false, true);
    }

    private static StepDefinition of(
            String image, int cores, double targetMillis, boolean bestEffort, boolean longRunning) {
        return new StepDefinition(
                1,
                new Resources(cores * 1000L, 100, 0),
                500,
                List.of(),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                image,
                targetMillis,
                bestEffort,
                0);
    }

    /** Starts a leader and lets it load its state. */
    static JobCellLeader startLeader(
            long epoch, KeyedStore store, FakeClock clock, FakeEventLoop loop) {
        return startLeader(epoch, store, clock, loop, () -> CONFIGURATION);
    }

    /** Starts a leader with a source of configurations and lets it load its state. */
    static JobCellLeader startLeader(
            long epoch,
            KeyedStore store,
            FakeClock clock,
            FakeEventLoop loop,
            Supplier<Configuration> configuration) {
        JobCellLeader leader =
                new JobCellLeader(
                        new WriterId(Epoch.of(epoch), Incarnation.of(epoch)),
                        store,
                        new CellTimes(6000, 120_000),
                        ContentionOptions.NONE,
                        OrderMetrics.NONE,
                        clock,
                        clock::nowMillis,
                        configuration,
                        () -> EvacuatedHalls.NONE,
                        loop,
                        AdmissionListener.NONE,
                        () -> {});
        leader.start();
        loop.advance(20);
        return leader;
    }

    static WorkerDescription worker(String id, int cores) {
        return new WorkerDescription(
                WorkerIncarnation.parse(id + "@1000"),
                "s",
                "10.0.0.1:" + id.hashCode(),
                new Resources(cores * 1000L, 10_000, 0),
                HallId.parse("h"),
                List.of("a"),
                false,
                0);
    }
}
