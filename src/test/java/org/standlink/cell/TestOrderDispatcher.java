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
import org.standlink.FakeLoop;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.WorkerDescription;
import org.standlink.store.FakeKeyedStore;

/** Tests that no order runs ahead of the record of what it orders. */
public class TestOrderDispatcher {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel agent = new FakeChannel();
    private final JobRegistry board = new JobRegistry();
    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    private final CommitQueue commits =
            new CommitQueue(
                    store,
                    Epoch.of(1),
                    List.of(board),
                    new LeaderAuthority(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> {});
    private final OrderDispatcher orders =
            new OrderDispatcher(Epoch.of(1), board, workers, commits);

    /** Hands the same job in, whose only task goes to the worker. */
    private JobEntry handIn() {
        workers.getOrAdd(WORKER.incarnation(), 10_000).receiveReport(WORKER, agent, true, 0);
        JobEntry job = board.add(CellFixtures.job("b", 1));
        TaskEntry task = job.allTasks().findFirst().orElseThrow();
        task.assign(WORKER.incarnation());
        workers.addTask(task, 10_000);
        return job;
    }

    @Test
    public void orderOfARefusedJobIsNotSentBeforeTheRecordOfItsResubmission() {
        JobEntry refused = handIn();
        orders.startAfterCommit(refused.allTasks().toList());
        board.withdraw(refused);
        board.add(CellFixtures.job("other", 1));
        // This append carries the other job alone; the order of the refused one waits for it.
        commits.startAppend();
        handIn();
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(0);
        assertEquals(List.of(), agent.starts());
    }

    @Test
    public void orderIsSentOnceItsRecordIsPersisted() {
        JobEntry job = handIn();
        orders.startAfterCommit(job.allTasks().toList());
        assertEquals(List.of(), agent.starts());
        commits.startAppend();
        loop.advance(0);
        assertEquals(1, agent.starts().size());
    }
}
