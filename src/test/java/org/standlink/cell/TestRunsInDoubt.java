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
import org.junit.jupiter.api.Test;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerIncarnation;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * Tests which runs stay assigned to a worker whose next incarnation may still start them.
 *
 * <p>Guards against two concurrent runs of a task, and against runs of completed tasks: a start
 * call without an answer is carried out late by the next incarnation of the worker under the same
 * id, after the run was released with the lease or at the end of the incarnation.
 */
public class TestRunsInDoubt extends AgentReportTestCase {

    /**
     * Guards against starts that were meant for a departed worker and are carried out by its next
     * incarnation, even after that one has answered: both were called under the same fence.
     */
    @Test
    public void aReturnUnderTheIdOfADepartedWorkerRaisesTheGeneration() {
        report(false, List.of());
        Incarnation agent = Incarnation.of(1);
        LeaseGeneration generation = agents.getGeneration(agent);
        deliver(handler, agents, 1, List.of(), List.of(WORKER.incarnation()));
        List<WorkerReport> returned = List.of(reportOf("i-1@2000", WORKER.address()));
        AgentReport first = agentReport(agents, 1, returned, List.of(), List.of());
        assertTrue(agents.accept(first, clock.nowMillis()));
        assertFalse(handler.handle(channel, first, clock.nowMillis() + 6000));
        LeaseGeneration raised = agents.getGeneration(agent);
        assertTrue(raised.isAfter(generation));
        deliver(handler, agents, 1, returned, List.of());
        assertEquals(raised, agents.getGeneration(agent), "it is raised once");
    }

    /**
     * Guards against two concurrent runs of a task: a run was assigned to another worker when the
     * lease of its own had expired, and the next incarnation of that one started it late.
     */
    @Test
    public void aRunInDoubtStaysWithALapsedWorker() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, true, List.of(), List.of(inDoubt.getRun()));
        assertEquals(WORKER.incarnation(), inDoubt.getWorker());
        assertNull(tasks.get(1).getWorker());
        report(1, true, List.of(), List.of());
        assertNull(inDoubt.getWorker());
    }

    @Test
    public void aRunThatStaysWithALapsedWorkerIsOrderedAgainOnceTheWorkerAnswers() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, true, List.of(), List.of(inDoubt.getRun()));
        loop.advance(0);
        channel.clear();
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        commits.startAppend();
        loop.advance(0);
        assertEquals(List.of(inDoubt.getRun()), channel.starts());
    }

    /**
     * Guards against two concurrent runs of a task: the id of a worker that had left was used
     * again, and its next incarnation started a run that had been assigned to another worker.
     */
    @Test
    public void aRunInDoubtStaysWithAnEndedWorker() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        WorkerIncarnation ended = WORKER.incarnation();
        deliver(handler, agents, 1, List.of(), List.of(ended), List.of(inDoubt.getRun()));
        assertEquals(ended, inDoubt.getWorker());
        assertNull(tasks.get(1).getWorker());
        deliver(handler, agents, 1, List.of(), List.of(ended), List.of(inDoubt.getRun()));
        assertEquals(ended, inDoubt.getWorker());
    }

    /** Guards against tasks that fail because one crash of a worker was counted twice. */
    @Test
    public void aCrashOfAWorkerThatKeepsARunInDoubtIsCountedOnce() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        deliver(
                handler,
                agents,
                1,
                List.of(),
                List.of(WORKER.incarnation()),
                List.of(inDoubt.getRun()));
        deliver(handler, agents, 1, List.of(reportOf("i-2@1000", WORKER.address())), List.of());
        assertNull(inDoubt.getWorker());
        assertEquals(1, inDoubt.getTrial().getCrashHistory().getStartupCrashes());
    }

    @Test
    public void unreportedRunsOfAnEndedAgentProcessAreInDoubt() {
        TaskEntry listed = tasks.get(0);
        TaskEntry unlisted = tasks.get(1);
        report(1, false, List.of(new RunProgress(listed.getRun(), "", 10, 0)), List.of());
        clock.advance(WorkerRegistry.REPORT_TIMEOUT_MILLIS);
        report(2, true, List.of(), List.of());
        assertNull(listed.getWorker());
        assertEquals(WORKER.incarnation(), unlisted.getWorker());
    }

    @Test
    public void runsThatAnEarlierAgentProcessReportedStayInDoubt() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        clock.advance(WorkerRegistry.REPORT_TIMEOUT_MILLIS);
        report(2, true, List.of(), List.of());
        assertEquals(WORKER.incarnation(), inDoubt.getWorker());
        clock.advance(CellTimes.START_IN_DOUBT_MILLIS);
        report(2, true, List.of(), List.of());
        assertNull(inDoubt.getWorker());
    }

    /** Guards against runs that stay with a worker that does not return, longer than in doubt. */
    @Test
    public void aRunStaysWithAnEndedWorkerOnlyWhileItIsInDoubt() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        WorkerIncarnation ended = WORKER.incarnation();
        deliver(handler, agents, 1, List.of(), List.of(ended), List.of(inDoubt.getRun()));
        assertEquals(ended, inDoubt.getWorker());
        deliver(handler, agents, 1, List.of(), List.of(ended), List.of());
        assertNull(inDoubt.getWorker());
    }

    /** Guards against runs that are never released while agent processes follow each other. */
    @Test
    public void processesThatFollowEachOtherDoNotExtendTheDoubt() {
        TaskEntry unlisted = tasks.get(0);
        for (int round = 0; round < 10; round++) {
            report(1 + round, false, List.of(), List.of());
            clock.advance(CellTimes.START_IN_DOUBT_MILLIS / 5);
        }
        report(10, true, List.of(), List.of());
        assertNull(unlisted.getWorker());
    }

    @Test
    public void aProcessThatResolvesARunDoesNotResolveTheCallsOfAnEarlierOne() {
        TaskEntry inDoubt = tasks.get(0);
        report(1, false, List.of(), List.of(inDoubt.getRun()));
        clock.advance(WorkerRegistry.REPORT_TIMEOUT_MILLIS);
        report(2, false, List.of(), List.of(inDoubt.getRun()));
        report(2, true, List.of(), List.of());
        assertEquals(WORKER.incarnation(), inDoubt.getWorker());
    }

    // -----------------------------------------------------------------------
    /**
     * Guards against runs of completed tasks: a start was called for twice, its end was recorded
     * and acknowledged, the worker was lost, and its next incarnation carried the first call out.
     */
    @Test
    public void anEndIsNotAcknowledgedWhileAStartCallOfItsRunIsInDoubt() {
        RunId run = tasks.get(0).getRun();
        report(1, false, List.of(), List.of(run), done(1));
        assertTrue(tasks.get(0).isDone());
        assertEquals(0, acknowledged());
        report(1, false, List.of(), List.of(), done(1));
        assertEquals(1, acknowledged());
    }

    /** Guards against the same with a call that only an earlier agent process has reported. */
    @Test
    public void anEndIsNotAcknowledgedWhileACallOfAnEarlierAgentProcessIsInDoubt() {
        report(1, false, List.of(), List.of(tasks.get(0).getRun()));
        clock.advance(WorkerRegistry.REPORT_TIMEOUT_MILLIS);
        report(2, false, List.of(), List.of(), done(1));
        assertEquals(0, acknowledged());
        clock.advance(CellTimes.START_IN_DOUBT_MILLIS);
        report(2, false, List.of(), List.of(), done(1));
        assertEquals(1, acknowledged());
    }

    /**
     * Guards against runs of completed tasks: the present agent process does not know the start
     * call of the earlier one, so it would acknowledge ends of other tasks.
     */
    @Test
    public void noEndIsAcknowledgedWhileACallOfAnEarlierAgentProcessIsInDoubt() {
        report(1, false, List.of(), List.of(tasks.get(0).getRun()));
        clock.advance(WorkerRegistry.REPORT_TIMEOUT_MILLIS);
        report(2, false, List.of(), List.of(), done(2));
        assertEquals(0, acknowledged());
        clock.advance(CellTimes.START_IN_DOUBT_MILLIS);
        report(2, false, List.of(), List.of(), done(2));
        assertEquals(2, acknowledged());
    }

    @Test
    public void onlySomeEndsAreSuspended() {
        RunEndTracker ends = new RunEndTracker();
        ends.markRecorded(1);
        ends.setSuspended(true);
        assertEquals(0, ends.getLastAcknowledgeable());
        ends.markRecorded(RunEndTracker.MAX_WITHHELD + 1);
        assertEquals(0, ends.getLastAcknowledgeable());
        ends.markRecorded(RunEndTracker.MAX_WITHHELD + 2);
        assertEquals(RunEndTracker.MAX_WITHHELD + 2, ends.getLastAcknowledgeable());
    }

    @Test
    public void anEndThatIsWithheldWithholdsLaterOnesOnly() {
        RunId later = tasks.get(1).getRun();
        report(1, false, List.of(), List.of(later), done(1), done(2));
        assertEquals(1, acknowledged());
    }

    @Test
    public void theEndOfAStoppedRunIsAcknowledged() {
        RunId run = tasks.get(0).getRun();
        RunEnd stopped = new RunEnd(1, run, RunEndKind.STOPPED, "");
        report(1, false, List.of(), List.of(run), stopped);
        assertEquals(1, acknowledged());
    }

    /** Guards against workers whose lists are full, on which nothing can be started. */
    @Test
    public void onlySomeEndsAreWithheld() {
        RunEndTracker ends = new RunEndTracker();
        ends.withhold(1, tasks.get(0).getName());
        ends.markRecorded(RunEndTracker.MAX_WITHHELD);
        assertEquals(0, ends.getLastAcknowledgeable());
        ends.markRecorded(RunEndTracker.MAX_WITHHELD + 1);
        assertEquals(RunEndTracker.MAX_WITHHELD + 1, ends.getLastAcknowledgeable());
    }

    /** Makes the records durable and gets the last end that was acknowledged. */
    private long acknowledged() {
        commits.startAppend();
        loop.advance(0);
        return channel.greatestRecordedEnd();
    }
}
