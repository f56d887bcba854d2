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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerLife;
import org.standlink.policy.HarmTable;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * Tests what becomes of runs whose worker has started again under its id.
 *
 * <p>A start that was meant for the former life may be carried out by the present one, as a call
 * names the id alone. So nothing may be given to others before the present life has listed what it
 * runs, under a generation that bars what came before.
 */
public class TestSuccessionDesk {

    private static final WorkerDescription FORMER = CellFixtures.worker("i-1", 8);
    private static final WorkerLife PRESENT = WorkerLife.parse("i-1@2000");
    private static final WorkerLife BORN_BEFORE = WorkerLife.parse("i-1@500");
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Incarnation OTHER_AGENT = Incarnation.of(2);
    private static final long LEASE_MILLIS = 6000;

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final JobBoard board = new JobBoard();
    private final WorkerBoard workers = new WorkerBoard(() -> EvacuatedHalls.NONE);
    private final CommitQueue commits =
            new CommitQueue(
                    new FakeKeyedStore(),
                    Epoch.of(1),
                    List.of(board, workers),
                    new StoreContact(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> {});
    private final AgentBoard agents = new AgentBoard(Epoch.of(1), workers);
    private final ReportDesk reports =
            new ReportDesk(
                    board,
                    workers,
                    agents,
                    new OrderDesk(Epoch.of(1), board, workers, commits),
                    job -> 2,
                    clock,
                    new FigureDesk(board, clock, new HarmTable()),
                    new MoveCost());
    private final FakeChannel channel = new FakeChannel();
    private List<TaskEntry> tasks;
    private long sequence;

    @BeforeEach
    public void assign() {
        tasks = board.add(CellFixtures.job("a", 3)).readyTasks(0);
        for (TaskEntry task : tasks) {
            task.assign(FORMER.life());
            workers.place(task, clock.nowMillis() + LEASE_MILLIS);
        }
        report(AGENT, part(FORMER.life(), true, runs()), List.of());
    }

    private List<RunId> runs() {
        return tasks.stream().map(TaskEntry::getRun).toList();
    }

    private static WorkerReport part(
            WorkerLife life, boolean listed, List<RunId> running, RunEnd... ended) {
        WorkerDescription worker =
                new WorkerDescription(
                        life,
                        FORMER.service(),
                        FORMER.address(),
                        FORMER.capacity(),
                        FORMER.hall(),
                        FORMER.labels(),
                        false,
                        0);
        return new WorkerReport(
                worker,
                true,
                false,
                true,
                running.stream().map(run -> new RunProgress(run, "", 10, 0)).toList(),
                List.of(ended),
                List.of(),
                List.of(),
                List.of(),
                listed);
    }

    /** Hands over a report under the generation that its sender was told; tells if it counts. */
    private boolean report(Incarnation agent, WorkerReport part, List<WorkerLife> dead) {
        if (agents.getGeneration(agent).equals(LeaseGeneration.NONE)) {
            agents.accept(message(agent, part, dead), clock.nowMillis());
        }
        AgentReport report = message(agent, part, dead);
        assertTrue(agents.accept(report, clock.nowMillis()));
        return reports.handle(channel, report, clock.nowMillis() + LEASE_MILLIS);
    }

    private AgentReport message(Incarnation agent, WorkerReport part, List<WorkerLife> dead) {
        return new AgentReport(
                "node" + agent,
                "a:1",
                agent,
                ++sequence,
                Epoch.of(1),
                agents.getGeneration(agent),
                false,
                List.of(part),
                dead);
    }

    private List<WorkerLife> places() {
        return tasks.stream().map(TaskEntry::getWorker).toList();
    }

    @Test
    public void theGenerationRisesBeforeAnythingIsGivenUp() {
        LeaseGeneration before = agents.getGeneration(AGENT);
        assertFalse(report(AGENT, part(PRESENT, true, List.of()), List.of(FORMER.life())));
        assertTrue(agents.getGeneration(AGENT).isAfter(before));
        assertEquals(List.of(FORMER.life(), FORMER.life(), FORMER.life()), places());
    }

    @Test
    public void runsStayPlacedUntilThePresentLifeHasListedItsOwn() {
        report(AGENT, part(PRESENT, false, List.of()), List.of(FORMER.life()));
        assertTrue(report(AGENT, part(PRESENT, false, List.of()), List.of(FORMER.life())));
        assertEquals(List.of(FORMER.life(), FORMER.life(), FORMER.life()), places());
        assertTrue(report(AGENT, part(PRESENT, true, List.of()), List.of(FORMER.life())));
        tasks.forEach(task -> assertNull(task.getWorker()));
        assertNull(workers.find(FORMER.life()));
    }

    /** They were started late there; stopping them would only lose their work. */
    @Test
    public void whatThePresentLifeListsGoesOnThere() {
        report(AGENT, part(PRESENT, false, List.of()), List.of());
        RunEnd done = new RunEnd(1, tasks.get(1).getRun(), RunEndKind.DONE, "");
        List<RunId> running = List.of(tasks.get(0).getRun());
        assertTrue(report(AGENT, part(PRESENT, true, running, done), List.of()));
        assertEquals(PRESENT, tasks.get(0).getWorker());
        assertTrue(tasks.get(1).isDone());
        assertNull(tasks.get(2).getWorker());
        assertFalse(tasks.get(2).isDone());
    }

    @Test
    public void theCrashIsCountedOnce() {
        for (int i = 0; i < 3; i++) {
            report(AGENT, part(PRESENT, i == 2, List.of()), List.of(FORMER.life()));
        }
        for (TaskEntry task : tasks) {
            assertEquals(1, task.getTrial().getCrashes().getCrashes());
        }
    }

    /** A worker's time of day may be set back between two starts. */
    @Test
    public void aLifeThatWasBornBeforeFollowsIfItAnswersTheSameAgent() {
        report(AGENT, part(BORN_BEFORE, false, List.of()), List.of());
        assertTrue(report(AGENT, part(BORN_BEFORE, true, List.of()), List.of()));
        assertNull(workers.find(FORMER.life()));
    }

    @Test
    public void anotherAgentsLifeThatWasBornBeforeEndsNoneThatAnswers() {
        assertTrue(report(OTHER_AGENT, part(BORN_BEFORE, true, List.of()), List.of()));
        assertEquals(List.of(FORMER.life(), FORMER.life(), FORMER.life()), places());
    }

    @Test
    public void aLateReportOfTheFormerLifeChangesNothing() {
        report(OTHER_AGENT, part(PRESENT, false, List.of()), List.of());
        assertTrue(report(AGENT, part(FORMER.life(), true, List.of()), List.of()));
        assertTrue(workers.find(FORMER.life()).isOver());
        assertEquals(List.of(FORMER.life(), FORMER.life(), FORMER.life()), places());
        assertTrue(report(OTHER_AGENT, part(PRESENT, true, List.of()), List.of()));
        assertNull(workers.find(FORMER.life()));
    }

    /** Records of older programs name no birth, so that nobody knows whose runs they tell of. */
    @Test
    public void theRunsOfALifeThatIsNotKnownWaitForListsAndCountNoCrash() {
        WorkerLife unknown = WorkerLife.parse("i-9");
        TaskEntry task = board.add(CellFixtures.job("b", 1)).readyTasks(0).get(0);
        task.assign(unknown);
        workers.place(task, clock.nowMillis() + LEASE_MILLIS);
        WorkerLife present = WorkerLife.parse("i-9@2000");
        report(OTHER_AGENT, part(present, true, List.of(task.getRun())), List.of());
        assertEquals(unknown, task.getWorker());
        assertTrue(report(OTHER_AGENT, part(present, true, List.of(task.getRun())), List.of()));
        assertEquals(present, task.getWorker());
        assertEquals(0, task.getTrial().getCrashes().getCrashes());
    }

    @Test
    public void aLifeThatIsOverIsGivenNothing() {
        report(AGENT, part(PRESENT, false, List.of()), List.of());
        assertTrue(
                workers.usable(FORMER.service(), clock.nowMillis()).stream()
                        .noneMatch(worker -> worker.getLife().equals(FORMER.life())));
    }
}
