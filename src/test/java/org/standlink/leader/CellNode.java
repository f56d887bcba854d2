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

    /** The port through which the agent calls the worker. */
    final DelayedWorkerPort workerPort;

    private final FakeClock clock;

    private final LogPort log;

    private LogFollower follower;

    /**
     * The highest epoch received; null until the log has been read since the start of the agent.
     */
    private Epoch epoch;

    private Incarnation incarnation;

    private long incarnationCount;

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

    /** Starts a new incarnation of the agent, which has no state and is not leaving. */
    void startAgent() {
        incarnationCount++;
        incarnation =
                Incarnation.of(
                        1000L * Integer.parseInt(vm.toString().substring(3)) + incarnationCount);
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

    /**
     * Creates a heartbeat. As in the agent's process, the log is read before the first one after a
     * start.
     */
    Heartbeat createHeartbeat(LeaderService leader) {
        if (epoch == null) {
            follower.poll();
            epoch = follower.read(fold -> fold.getCellState(CellHarness.CELL).getEpoch());
        }
        SupervisorReport report = supervisor.getReport();
        ReportDelta.Selection selection = delta.selectNext(report.tasks(), leader.getEpoch());
        return new Heartbeat(
                vm,
                incarnation,
                selection.number(),
                selection.full(),
                report.epoch(),
                report.generation(),
                holder.getVersion(),
                report.revision(),
                leaving,
                report.workerReady(),
                selection.tasks(),
                selection.gone(),
                List.of());
    }

    /**
     * Receives an answer. As in the agent's process, it is ignored if its epoch is older than the
     * highest one received.
     */
    void receiveAnswer(HeartbeatAnswer answer, long sentMillis) {
        boolean current = answer.epoch().compareTo(epoch) >= 0;
        if (current && supervisor.accept(answer, sentMillis)) {
            epoch = answer.epoch();
            delta.answerReceived(answer.epoch());
            holder.offer(answer.signedBundle(), answer.bundle());
        }
    }
}
