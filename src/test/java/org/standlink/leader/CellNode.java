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
package org.standlink.leader;

import java.util.List;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.VmId;
import org.standlink.agent.ReportDelta;
import org.standlink.agent.SupervisorReport;
import org.standlink.agent.TaskSupervisor;
import org.standlink.bundle.BundleHolder;
import org.standlink.lease.LeaseTimes;
import org.standlink.log.LogFollower;
import org.standlink.port.LogPort;
import org.standlink.standin.MemoryWorker;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;

/** One agent of a {@link CellHarness} with its worker and its leader role. */
final class CellNode {

    static final Resources CAPACITY = Resources.ofCores(8, 16_000, 0);

    private static final long WORKER_MILLIS = 5000;

    final VmId vm;

    final MemoryWorker worker;

    /** The way from the agent to the worker. */
    final DelayedWorkerPort workerPort;

    private final FakeClock clock;

    private final LogPort log;

    private LogFollower follower;

    /** The highest epoch heard of; null until the log was read since the start of the agent. */
    private Epoch epoch;

    private Incarnation incarnation;

    private long runs;

    TaskSupervisor supervisor;

    private ReportDelta delta;

    BundleHolder holder;

    LeaderService service;

    boolean reachable = true;

    boolean alive = true;

    boolean leaving;

    boolean followsOldLeader;

    CellNode(int number, FakeClock clock, LogPort log) {
        this.vm = VmId.parse("vm-" + number);
        this.clock = clock;
        this.log = log;
        this.worker = new MemoryWorker(clock, CAPACITY, WORKER_MILLIS, 1, 0.6);
        this.workerPort = new DelayedWorkerPort(worker);
        startAgent();
    }

    /** Starts a new run of the agent, which knows nothing and is not leaving. */
    void startAgent() {
        runs++;
        incarnation = Incarnation.of(1000L * Integer.parseInt(vm.toString().substring(3)) + runs);
        alive = true;
        leaving = false;
        delta = new ReportDelta();
        supervisor = new TaskSupervisor(vm, workerPort, clock);
        holder = new BundleHolder();
        follower = new LogFollower(log, (id, refusal) -> {});
        epoch = null;
        service =
                new LeaderService(
                        CellHarness.CELL,
                        vm,
                        incarnation,
                        log,
                        follower,
                        holder,
                        LeaseTimes.DEFAULT,
                        3_600_000,
                        clock,
                        () -> 12,
                        new io.micrometer.core.instrument.simple.SimpleMeterRegistry());
    }

    /** Makes a heartbeat; as in the process, only once the log was read since the start. */
    Heartbeat createHeartbeat(LeaderService to) {
        if (epoch == null) {
            follower.poll();
            epoch = follower.read(fold -> fold.getCell(CellHarness.CELL).getEpoch());
        }
        SupervisorReport report = supervisor.getReport();
        ReportDelta.Selection part = delta.selectNext(report.tasks(), to.getEpoch());
        return new Heartbeat(
                vm,
                incarnation,
                part.number(),
                part.full(),
                report.epoch(),
                report.generation(),
                holder.getVersion(),
                report.revision(),
                leaving,
                report.workerReady(),
                part.tasks(),
                part.gone(),
                List.of());
    }

    /** Takes an answer; as in the process, one of an older epoch than heard of is passed over. */
    void receiveAnswer(HeartbeatAnswer answer, long askedMillis) {
        boolean current = answer.epoch().compareTo(epoch) >= 0;
        if (current && supervisor.accept(answer, askedMillis)) {
            epoch = answer.epoch();
            delta.answerReceived(answer.epoch());
            holder.offer(answer.signedBundle(), answer.bundle());
        }
    }
}
