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

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.WorkerDescription;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.WriterId;

/** Tests that no order is sent before the record of its run is durable. */
public class TestOrderDispatcher {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel agent = new FakeChannel();
    private final JobRegistry jobs = new JobRegistry();
    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    private final CommitQueue commits =
            new CommitQueue(
                    store,
                    new WriterId(Epoch.of(1), Incarnation.of(1)),
                    List.of(jobs),
                    new LeaderAuthority(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> {});
    private final OrderDispatcher dispatcher =
            new OrderDispatcher(Epoch.of(1), jobs, workers, commits);

    /** Submits the same job each time and assigns its only task to the worker. */
    private JobEntry submitAndAssign() {
        workers.getOrAdd(WORKER.incarnation(), 10_000).receiveReport(WORKER, agent, true, 0);
        JobEntry job = jobs.add(CellFixtures.job("b", 1));
        TaskEntry task = job.allTasks().findFirst().orElseThrow();
        task.assign(WORKER.incarnation());
        workers.addTask(task, 10_000);
        return job;
    }

    @Test
    public void orderOfARefusedJobIsNotSentBeforeTheRecordOfItsResubmission() {
        JobEntry refused = submitAndAssign();
        dispatcher.startAfterCommit(refused.allTasks().toList());
        jobs.withdraw(refused);
        jobs.add(CellFixtures.job("other", 1));
        // This append contains only the other job; the order of the refused job waits for it.
        commits.startAppend();
        submitAndAssign();
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(0);
        assertEquals(List.of(), agent.starts());
    }

    @Test
    public void orderIsSentOnceItsRecordIsPersisted() {
        JobEntry job = submitAndAssign();
        dispatcher.startAfterCommit(job.allTasks().toList());
        assertEquals(List.of(), agent.starts());
        commits.startAppend();
        loop.advance(0);
        assertEquals(1, agent.starts().size());
    }
}
