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

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
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

/** A leader's state and its handler of reports, with two tasks that are assigned to a worker. */
abstract class AgentReportTestCase {

    static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);

    final FakeClock clock = new FakeClock();
    final FakeEventLoop loop = new FakeEventLoop(clock);
    final FakeKeyedStore store = new FakeKeyedStore();
    final JobRegistry jobs = new JobRegistry();
    final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    final CommitQueue commits =
            new CommitQueue(
                    store,
                    new WriterId(Epoch.of(1), Incarnation.of(1)),
                    List.of(jobs, workers),
                    new LeaderAuthority(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> {});
    final OrderDispatcher orders = new OrderDispatcher(Epoch.of(1), jobs, workers, commits);
    final AgentRegistry agents = new AgentRegistry(Epoch.of(1), workers);
    final AgentReportHandler handler =
            new AgentReportHandler(
                    jobs,
                    workers,
                    agents,
                    orders,
                    job -> 2,
                    clock,
                    new InterferenceLearner(jobs, clock, new InterferenceTable()),
                    new MoveCostEstimator());
    List<TaskEntry> tasks;
    final FakeChannel channel = new FakeChannel();
    long sequence;

    @BeforeEach
    void assign() {
        tasks = jobs.add(CellFixtures.job("a", 2)).listReadyTasks(0);
        for (TaskEntry task : tasks) {
            task.assign(WORKER.incarnation());
            workers.addTask(task, clock.nowMillis() + 6000);
        }
        commits.startAppend();
        loop.advance(0);
    }

    void report(boolean lapsed, List<RunProgress> running, RunEnd... ended) {
        report(1, lapsed, running, List.of(), ended);
    }

    void report(
            long agentIncarnation,
            boolean lapsed,
            List<RunProgress> running,
            List<RunId> inDoubt,
            RunEnd... ended) {
        WorkerReport workerReport =
                new WorkerReport(
                        WORKER,
                        !lapsed,
                        lapsed,
                        true,
                        running,
                        List.of(ended),
                        List.of(),
                        List.of(),
                        List.of(),
                        true,
                        inDoubt);
        deliver(handler, agents, agentIncarnation, List.of(workerReport), List.of());
    }

    static WorkerReport reportOf(String incarnation, String address) {
        WorkerDescription worker =
                new WorkerDescription(
                        WorkerIncarnation.parse(incarnation),
                        WORKER.service(),
                        address,
                        WORKER.capacity(),
                        WORKER.hall(),
                        WORKER.labels(),
                        false,
                        0);
        return new WorkerReport(
                worker, true, false, true, List.of(), List.of(), List.of(), List.of(), List.of(),
                true, List.of());
    }

    /** Delivers a report under the current generation of its sender. */
    void deliver(
            AgentReportHandler recipient,
            AgentRegistry registry,
            long agentIncarnation,
            List<WorkerReport> parts,
            List<WorkerIncarnation> ended) {
        deliver(recipient, registry, agentIncarnation, parts, ended, List.of());
    }

    /** Delivers a report that names runs in doubt of ended incarnations. */
    void deliver(
            AgentReportHandler recipient,
            AgentRegistry registry,
            long agentIncarnation,
            List<WorkerReport> parts,
            List<WorkerIncarnation> ended,
            List<RunId> inDoubt) {
        if (registry.getGeneration(Incarnation.of(agentIncarnation)).equals(LeaseGeneration.NONE)) {
            registry.accept(
                    agentReport(registry, agentIncarnation, List.of(), List.of(), List.of()),
                    clock.nowMillis());
        }
        AgentReport report = agentReport(registry, agentIncarnation, parts, ended, inDoubt);
        assertTrue(registry.accept(report, clock.nowMillis()));
        assertTrue(
                recipient.handle(channel, report, clock.nowMillis() + 6000),
                "the report is accepted");
    }

    AgentReport agentReport(
            AgentRegistry registry,
            long agentIncarnation,
            List<WorkerReport> parts,
            List<WorkerIncarnation> ended,
            List<RunId> inDoubt) {
        Incarnation agent = Incarnation.of(agentIncarnation);
        return new AgentReport(
                "node",
                "a:1",
                agent,
                ++sequence,
                Epoch.of(1),
                registry.getGeneration(agent),
                false,
                parts,
                ended,
                inDoubt);
    }

    RunEnd done(int number) {
        return new RunEnd(number, tasks.get(number - 1).getRun(), RunEndKind.DONE, "");
    }
}
