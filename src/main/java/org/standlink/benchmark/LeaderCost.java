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
 * Measures what a leader spends on one second of a full cell.
 *
 * <p>{@code LeaderCost} is thread-safe and immutable.
 */
final class LeaderCost {

    /** Seconds before measuring. */
    private static final int WARM_UP = 60;

    /** Seconds measured. */
    private static final int SECONDS = 60;

    /** The cell. */
    private static final CellId CELL = CellId.parse("one");

    /** No instances. */
    private LeaderCost() {}

    /**
     * Measures a cell.
     *
     * @param workers the workers
     * @param tasks the tasks on each
     * @param registry where counters go
     * @return the result in one line
     */
    static String measure(int workers, int tasks, MeterRegistry registry) {
        long[] now = {1_000_000};
        MemoryLog log = new MemoryLog(() -> now[0], 1000, Long.MAX_VALUE / 4);
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
                        () -> now[0],
                        () -> 12,
                        registry);
        service.claim();
        List<HeartbeatAnswer> answers = new ArrayList<>();
        List<ReportDelta> deltas = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            deltas.add(new ReportDelta());
        }
        long[] bytes = {0};
        for (int i = 0; i < WARM_UP; i++) {
            second(service, holder, workers, now, answers, deltas, bytes);
        }
        bytes[0] = 0;
        long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < SECONDS; i++) {
            second(service, holder, workers, now, answers, deltas, bytes);
        }
        long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - start;
        return String.format(
                "leader of %2d workers with %2d tasks each: %.2f ms of processor a second"
                        + " (%.2f%% of a core), %d bytes a second in and out",
                workers, tasks, nanos / 1e6 / SECONDS, nanos / 1e7 / SECONDS, bytes[0] / SECONDS);
    }

    private static void second(
            LeaderService service,
            BundleHolder holder,
            int workers,
            long[] now,
            List<HeartbeatAnswer> answers,
            List<ReportDelta> deltas,
            long[] bytes) {
        now[0] += 1000;
        service.runOnce();
        for (int worker = 0; worker < workers; worker++) {
            HeartbeatAnswer last = answers.size() > worker ? answers.get(worker) : null;
            byte[] sent =
                    FrameCodec.encode(
                            new Frame(
                                    1,
                                    false,
                                    heartbeat(worker, last, holder, deltas.get(worker), now[0])));
            Heartbeat received = (Heartbeat) FrameCodec.decode(sent).message();
            HeartbeatAnswer answer = service.handleHeartbeat(received);
            deltas.get(worker).answerReceived(answer.epoch());
            bytes[0] += sent.length + FrameCodec.encode(new Frame(1, true, answer)).length;
            HeartbeatAnswer kept = answer.assignments() == null && last != null ? last : answer;
            if (last == null) {
                answers.add(kept);
            } else {
                answers.set(worker, kept);
            }
        }
    }

    private static Heartbeat heartbeat(
            int worker, HeartbeatAnswer last, BundleHolder holder, ReportDelta delta, long now) {
        List<TaskReport> reports = new ArrayList<>();
        if (last != null) {
            last.assignments()
                    .forEach(
                            assignment ->
                                    reports.add(
                                            new TaskReport(
                                                    assignment.task(),
                                                    assignment.attempt(),
                                                    TaskReport.State.RUNNING,
                                                    Long.toString(now),
                                                    assignment.resources())));
        }
        Epoch epoch = last == null ? Epoch.NONE : last.epoch();
        ReportDelta.Selection part = delta.selectNext(reports, epoch);
        return new Heartbeat(
                VmId.parse("vm-" + worker),
                Incarnation.of(worker + 1),
                part.number(),
                part.full(),
                last == null ? Epoch.NONE : last.epoch(),
                last == null ? LeaseGeneration.NONE : last.generation(),
                last == null ? BundleVersion.NONE : holder.getVersion(),
                last == null ? 0 : last.revision(),
                false,
                true,
                part.tasks(),
                part.gone(),
                List.of());
    }
}
