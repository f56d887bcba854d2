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
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.WriterId;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * Tests the handling of runs whose worker has restarted under its id.
 *
 * <p>A start intended for the former incarnation may be executed by the current one, since a call
 * names only the id. Its tasks must therefore not be assigned to other workers before the current
 * incarnation has listed its runs under a generation that fences all earlier orders.
 */
public class TestWorkerRestartHandler {

    private static final WorkerDescription FORMER = CellFixtures.worker("i-1", 8);
    private static final WorkerIncarnation CURRENT = WorkerIncarnation.parse("i-1@2000");
    private static final WorkerIncarnation EARLIER_START = WorkerIncarnation.parse("i-1@500");
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Incarnation OTHER_AGENT = Incarnation.of(2);
    private static final long LEASE_MILLIS = 6000;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final JobRegistry jobs = new JobRegistry();
    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    private final CommitQueue commits =
            new CommitQueue(
                    new FakeKeyedStore(),
                    new WriterId(Epoch.of(1), Incarnation.of(1)),
                    List.of(jobs, workers),
                    new LeaderAuthority(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> {});
    private final AgentRegistry agents = new AgentRegistry(Epoch.of(1), workers);
    private final AgentReportHandler handler =
            new AgentReportHandler(
                    jobs,
                    workers,
                    agents,
                    new OrderDispatcher(Epoch.of(1), jobs, workers, commits),
                    job -> 2,
                    clock,
                    new InterferenceLearner(jobs, clock, new InterferenceTable()),
                    new MoveCostEstimator());
    private final FakeChannel channel = new FakeChannel();
    private List<TaskEntry> tasks;
    private long sequence;

    @BeforeEach
    public void assign() {
        tasks = jobs.add(CellFixtures.job("a", 3)).listReadyTasks(0);
        for (TaskEntry task : tasks) {
            task.assign(FORMER.incarnation());
            workers.addTask(task, clock.nowMillis() + LEASE_MILLIS);
        }
        report(AGENT, workerReport(FORMER.incarnation(), true, runs()), List.of());
    }

    private List<RunId> runs() {
        return tasks.stream().map(TaskEntry::getRun).toList();
    }

    private static WorkerReport workerReport(
            WorkerIncarnation incarnation,
            boolean runsListed,
            List<RunId> running,
            RunEnd... ends) {
        WorkerDescription worker =
                new WorkerDescription(
                        incarnation,
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
                List.of(ends),
                List.of(),
                List.of(),
                List.of(),
                runsListed,
                List.of());
    }

    /** Delivers a report under the current generation of its sender; true if it is accepted. */
    private boolean report(
            Incarnation agent, WorkerReport workerReport, List<WorkerIncarnation> ended) {
        if (agents.getGeneration(agent).equals(LeaseGeneration.NONE)) {
            agents.accept(agentReport(agent, workerReport, ended), clock.nowMillis());
        }
        AgentReport report = agentReport(agent, workerReport, ended);
        assertTrue(agents.accept(report, clock.nowMillis()));
        return handler.handle(channel, report, clock.nowMillis() + LEASE_MILLIS);
    }

    private AgentReport agentReport(
            Incarnation agent, WorkerReport workerReport, List<WorkerIncarnation> ended) {
        return new AgentReport(
                "node" + agent,
                "a:1",
                agent,
                ++sequence,
                Epoch.of(1),
                agents.getGeneration(agent),
                false,
                List.of(workerReport),
                ended,
                List.of());
    }

    private List<WorkerIncarnation> assignedWorkers() {
        return tasks.stream().map(TaskEntry::getWorker).toList();
    }

    @Test
    public void generationRisesBeforeAnyRunIsReleased() {
        LeaseGeneration before = agents.getGeneration(AGENT);
        assertFalse(
                report(
                        AGENT,
                        workerReport(CURRENT, true, List.of()),
                        List.of(FORMER.incarnation())));
        assertTrue(agents.getGeneration(AGENT).isAfter(before));
        assertEquals(
                List.of(FORMER.incarnation(), FORMER.incarnation(), FORMER.incarnation()),
                assignedWorkers());
    }

    @Test
    public void runsStayAssignedUntilTheCurrentIncarnationHasListedItsOwn() {
        report(AGENT, workerReport(CURRENT, false, List.of()), List.of(FORMER.incarnation()));
        assertTrue(
                report(
                        AGENT,
                        workerReport(CURRENT, false, List.of()),
                        List.of(FORMER.incarnation())));
        assertEquals(
                List.of(FORMER.incarnation(), FORMER.incarnation(), FORMER.incarnation()),
                assignedWorkers());
        assertTrue(
                report(
                        AGENT,
                        workerReport(CURRENT, true, List.of()),
                        List.of(FORMER.incarnation())));
        tasks.forEach(task -> assertNull(task.getWorker()));
        assertNull(workers.find(FORMER.incarnation()));
    }

    /** Delayed orders started these runs there; stopping them would only lose their work. */
    @Test
    public void runsListedByTheCurrentIncarnationContinueThere() {
        report(AGENT, workerReport(CURRENT, false, List.of()), List.of());
        RunEnd done = new RunEnd(1, tasks.get(1).getRun(), RunEndKind.DONE, "");
        List<RunId> running = List.of(tasks.get(0).getRun());
        assertTrue(report(AGENT, workerReport(CURRENT, true, running, done), List.of()));
        assertEquals(CURRENT, tasks.get(0).getWorker());
        assertTrue(tasks.get(1).isDone());
        assertNull(tasks.get(2).getWorker());
        assertFalse(tasks.get(2).isDone());
    }

    @Test
    public void theCrashIsCountedOnce() {
        for (int i = 0; i < 3; i++) {
            report(AGENT, workerReport(CURRENT, i == 2, List.of()), List.of(FORMER.incarnation()));
        }
        for (TaskEntry task : tasks) {
            assertEquals(1, task.getTrial().getCrashHistory().getStartupCrashes());
        }
    }

    /** The clock of a worker may be set back between two starts. */
    @Test
    public void incarnationWithAnEarlierStartTimeFollowsIfItAnswersTheSameAgent() {
        report(AGENT, workerReport(EARLIER_START, false, List.of()), List.of());
        assertTrue(report(AGENT, workerReport(EARLIER_START, true, List.of()), List.of()));
        assertNull(workers.find(FORMER.incarnation()));
    }

    @Test
    public void incarnationWithAnEarlierStartTimeOfAnotherAgentEndsNoneThatAnswers() {
        assertTrue(report(OTHER_AGENT, workerReport(EARLIER_START, true, List.of()), List.of()));
        assertEquals(
                List.of(FORMER.incarnation(), FORMER.incarnation(), FORMER.incarnation()),
                assignedWorkers());
    }

    @Test
    public void delayedReportOfTheFormerIncarnationChangesNothing() {
        report(OTHER_AGENT, workerReport(CURRENT, false, List.of()), List.of());
        assertTrue(report(AGENT, workerReport(FORMER.incarnation(), true, List.of()), List.of()));
        assertTrue(workers.find(FORMER.incarnation()).isEnded());
        assertEquals(
                List.of(FORMER.incarnation(), FORMER.incarnation(), FORMER.incarnation()),
                assignedWorkers());
        assertTrue(report(OTHER_AGENT, workerReport(CURRENT, true, List.of()), List.of()));
        assertNull(workers.find(FORMER.incarnation()));
    }

    /** Records of older versions have no start time, so it is unknown whose runs they name. */
    @Test
    public void runsOfAnUnknownIncarnationWaitForListsAndCountNoCrash() {
        WorkerIncarnation unknown = WorkerIncarnation.parse("i-9");
        TaskEntry task = jobs.add(CellFixtures.job("b", 1)).listReadyTasks(0).get(0);
        task.assign(unknown);
        workers.addTask(task, clock.nowMillis() + LEASE_MILLIS);
        WorkerIncarnation current = WorkerIncarnation.parse("i-9@2000");
        report(OTHER_AGENT, workerReport(current, true, List.of(task.getRun())), List.of());
        assertEquals(unknown, task.getWorker());
        assertTrue(
                report(
                        OTHER_AGENT,
                        workerReport(current, true, List.of(task.getRun())),
                        List.of()));
        assertEquals(current, task.getWorker());
        assertEquals(0, task.getTrial().getCrashHistory().getStartupCrashes());
    }

    @Test
    public void endedIncarnationIsAssignedNothing() {
        report(AGENT, workerReport(CURRENT, false, List.of()), List.of());
        assertTrue(
                workers.findUsable(FORMER.service(), clock.nowMillis()).stream()
                        .noneMatch(worker -> worker.getIncarnation().equals(FORMER.incarnation())));
    }
}
