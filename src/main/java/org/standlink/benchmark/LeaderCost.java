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
package org.standlink.benchmark;

import io.micrometer.core.instrument.MeterRegistry;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.VmId;
import org.standlink.agent.ReportDelta;
import org.standlink.bundle.BundleHolder;
import org.standlink.leader.LeaderService;
import org.standlink.lease.LeaseTimes;
import org.standlink.log.BundleRecord;
import org.standlink.log.LogFollower;
import org.standlink.log.RecordCodec;
import org.standlink.standin.MemoryLog;
import org.standlink.wire.Frame;
import org.standlink.wire.FrameCodec;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.TaskReport;

/**
 * Measures the processor time and the traffic of the leader of a full cell.
 *
 * <p>{@code LeaderCost} is thread-safe and immutable.
 */
final class LeaderCost {

    /** The simulated time before the measurement, in seconds. */
    private static final int WARM_UP_SECONDS = 60;

    /** The simulated time of the measurement, in seconds. */
    private static final int MEASURED_SECONDS = 60;

    private static final CellId CELL = CellId.parse("one");

    private LeaderCost() {}

    /**
     * Measures the leader of one cell.
     *
     * @param workers the number of workers
     * @param tasks the number of tasks on each worker
     * @param registry the registry of the leader's metrics
     * @return the result in one line
     */
    static String measure(int workers, int tasks, MeterRegistry registry) {
        long[] nowMillis = {1_000_000};
        MemoryLog log = new MemoryLog(() -> nowMillis[0], 1000, Long.MAX_VALUE / 4);
        log.append(
                RecordCodec.encode(
                        new BundleRecord("b", BenchmarkBundles.createFullCell(workers, tasks))));
        BundleHolder holder = new BundleHolder();
        LeaderService service =
                new LeaderService(
                        CELL,
                        VmId.parse("vm-0"),
                        Incarnation.of(1),
                        log,
                        new LogFollower(log, (id, refusal) -> {}),
                        holder,
                        LeaseTimes.DEFAULT,
                        3_600_000,
                        () -> nowMillis[0],
                        () -> 12,
                        registry);
        service.claim();
        List<HeartbeatAnswer> answers = new ArrayList<>();
        List<ReportDelta> deltas = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            deltas.add(new ReportDelta());
        }
        long[] bytes = {0};
        for (int i = 0; i < WARM_UP_SECONDS; i++) {
            runSecond(service, holder, workers, nowMillis, answers, deltas, bytes);
        }
        bytes[0] = 0;
        long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < MEASURED_SECONDS; i++) {
            runSecond(service, holder, workers, nowMillis, answers, deltas, bytes);
        }
        long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - start;
        return String.format(
                "leader of %2d workers with %2d tasks each: %.2f ms of processor a second"
                        + " (%.2f%% of a core), %d bytes a second in and out",
                workers,
                tasks,
                nanos / 1e6 / MEASURED_SECONDS,
                nanos / 1e7 / MEASURED_SECONDS,
                bytes[0] / MEASURED_SECONDS);
    }

    private static void runSecond(
            LeaderService service,
            BundleHolder holder,
            int workers,
            long[] nowMillis,
            List<HeartbeatAnswer> answers,
            List<ReportDelta> deltas,
            long[] bytes) {
        nowMillis[0] += 1000;
        service.runOnce();
        for (int worker = 0; worker < workers; worker++) {
            HeartbeatAnswer previous = answers.size() > worker ? answers.get(worker) : null;
            byte[] encoded =
                    FrameCodec.encode(
                            new Frame(
                                    1,
                                    false,
                                    createHeartbeat(
                                            worker,
                                            previous,
                                            holder,
                                            deltas.get(worker),
                                            nowMillis[0])));
            Heartbeat received = (Heartbeat) FrameCodec.decode(encoded).message();
            HeartbeatAnswer answer = service.handleHeartbeat(received);
            deltas.get(worker).answerReceived(answer.epoch());
            bytes[0] += encoded.length + FrameCodec.encode(new Frame(1, true, answer)).length;
            HeartbeatAnswer latest =
                    answer.assignments() == null && previous != null ? previous : answer;
            if (previous == null) {
                answers.add(latest);
            } else {
                answers.set(worker, latest);
            }
        }
    }

    private static Heartbeat createHeartbeat(
            int worker,
            HeartbeatAnswer previous,
            BundleHolder holder,
            ReportDelta delta,
            long nowMillis) {
        List<TaskReport> reports = new ArrayList<>();
        if (previous != null) {
            previous.assignments()
                    .forEach(
                            assignment ->
                                    reports.add(
                                            new TaskReport(
                                                    assignment.task(),
                                                    assignment.attempt(),
                                                    TaskReport.State.RUNNING,
                                                    Long.toString(nowMillis),
                                                    assignment.resources())));
        }
        Epoch epoch = previous == null ? Epoch.NONE : previous.epoch();
        ReportDelta.Selection selection = delta.selectNext(reports, epoch);
        return new Heartbeat(
                VmId.parse("vm-" + worker),
                Incarnation.of(worker + 1),
                selection.number(),
                selection.full(),
                previous == null ? Epoch.NONE : previous.epoch(),
                previous == null ? LeaseGeneration.NONE : previous.generation(),
                previous == null ? BundleVersion.NONE : holder.getVersion(),
                previous == null ? 0 : previous.revision(),
                false,
                true,
                selection.tasks(),
                selection.gone(),
                List.of());
    }
}
