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

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.standlink.Attempt;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.bundle.BundleReader;
import org.standlink.log.BundleTaskRecord;
import org.standlink.log.CellState;
import org.standlink.log.ClaimRecord;
import org.standlink.log.RecordCodec;
import org.standlink.log.TaskEvent;
import org.standlink.wire.Assignment;
import org.standlink.wire.Frame;
import org.standlink.wire.FrameCodec;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.ServiceReport;
import org.standlink.wire.TaskReport;

/**
 * Measures the marginal cost of a task, worker, job or record in bytes, processor time and memory.
 *
 * <p>{@code MarginalCost} is thread-safe and immutable.
 */
public final class MarginalCost {

    /** The number of calls before the measurement. */
    private static final int WARM_UP_ROUNDS = 3000;

    /** The number of calls in the measurement. */
    private static final int MEASURED_ROUNDS = 5000;

    /** The number of tasks in the state whose memory is measured. */
    private static final int TASKS_IN_STATE = 50_000;

    private static final CellId CELL = CellId.parse("cell-01");

    private static final Resources TASK_RESOURCES = Resources.ofCores(2, 4000, 0);

    private MarginalCost() {}

    /**
     * Runs all measurements.
     *
     * @return the results, one per line
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        measureHeartbeats(lines);
        measureRecords(lines);
        measureMemory(lines);
        measureBundles(lines);
        return lines;
    }

    // -----------------------------------------------------------------------
    private static void measureHeartbeats(List<String> lines) {
        for (int tasks : new int[] {0, 24, 48}) {
            Frame heartbeat = new Frame(1, false, createHeartbeat(tasks));
            Frame answer = new Frame(1, true, createAnswer(tasks));
            Frame answerWithoutAssignments = new Frame(1, true, createAnswer(-1));
            double micros = measureMicros(() -> FrameCodec.decode(FrameCodec.encode(heartbeat)));
            lines.add(
                    String.format(
                            "full heartbeat with %2d tasks: %d bytes, %.1f us to encode and decode;"
                                    + " answer with all assignments %d bytes, without %d bytes",
                            tasks,
                            FrameCodec.encode(heartbeat).length,
                            micros,
                            FrameCodec.encode(answer).length,
                            FrameCodec.encode(answerWithoutAssignments).length));
        }
    }

    private static Heartbeat createHeartbeat(int tasks) {
        List<TaskReport> reports = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            reports.add(
                    new TaskReport(
                            createTaskId(i),
                            Attempt.of(1),
                            TaskReport.State.RUNNING,
                            "123456",
                            TASK_RESOURCES));
        }
        return new Heartbeat(
                VmId.parse("vm-0001"),
                Incarnation.of(Long.MAX_VALUE),
                100_000,
                true,
                Epoch.of(1000),
                LeaseGeneration.of(10),
                BundleVersion.of(100_000),
                1L << 40,
                false,
                true,
                reports,
                List.of(),
                List.of(new ServiceReport(ServiceId.parse("registry"), 2, 80)));
    }

    private static HeartbeatAnswer createAnswer(int tasks) {
        List<Assignment> assignments = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            assignments.add(
                    new Assignment(
                            createTaskId(i),
                            Attempt.of(1),
                            TASK_RESOURCES,
                            10,
                            600,
                            null,
                            false,
                            100));
        }
        return new HeartbeatAnswer(
                Epoch.of(1000),
                LeaseGeneration.of(10),
                10_000,
                BundleVersion.of(100_000),
                null,
                1L << 40,
                tasks < 0 ? null : assignments,
                500);
    }

    private static void measureRecords(List<String> lines) {
        byte[] one = RecordCodec.encode(createTaskRecord(1));
        byte[] many = RecordCodec.encode(createTaskRecord(64));
        double micros = measureMicros(() -> RecordCodec.decode(many));
        lines.add(
                String.format(
                        "record of task events: %d bytes for 1, %d for 64, so %d bytes an event;"
                                + " %.1f us to read the 64",
                        one.length, many.length, (many.length - one.length) / 63, micros));
    }

    private static BundleTaskRecord createTaskRecord(int events) {
        List<TaskEvent> all = new ArrayList<>();
        for (int i = 0; i < events; i++) {
            all.add(
                    TaskEvent.ofAssign(
                            createTaskId(i), Attempt.of(1), VmId.parse("vm-0001"), TASK_RESOURCES));
        }
        return new BundleTaskRecord(RecordCodec.newId(), CELL, Epoch.of(1), 1, all);
    }

    private static void measureMemory(List<String> lines) {
        long before = getUsedHeapBytes();
        CellState state = new CellState(CELL);
        state.apply(
                new ClaimRecord("id", CELL, Epoch.of(1), VmId.parse("vm-0001"), Incarnation.of(1)));
        List<TaskEvent> events = new ArrayList<>();
        for (int i = 0; i < TASKS_IN_STATE; i++) {
            events.add(
                    TaskEvent.ofAssign(
                            createTaskId(i),
                            Attempt.of(1),
                            VmId.parse("vm-" + i % 32),
                            TASK_RESOURCES));
        }
        state.apply(new BundleTaskRecord("id", CELL, Epoch.of(1), 1, events));
        events = null;
        long after = getUsedHeapBytes();
        byte[] snapshot = RecordCodec.encode(state.createSnapshot(1, null));
        lines.add(
                String.format(
                        "task held by a leader: %d bytes of heap, %d bytes of a snapshot",
                        (after - before) / TASKS_IN_STATE, snapshot.length / TASKS_IN_STATE));
    }

    private static void measureBundles(List<String> lines) {
        String small = createBundle(10, 11);
        String jobs = createBundle(1010, 11);
        double base = measureMicros(() -> BundleReader.read(small));
        long before = getUsedHeapBytes();
        // Used again below, so that it is not collected before the memory is measured.
        Object retained = BundleReader.read(jobs);
        long after = getUsedHeapBytes();
        int rounds = 50;
        long start = getThreadCpuNanos();
        for (int i = 0; i < rounds; i++) {
            BundleReader.read(jobs);
        }
        double micros = (getThreadCpuNanos() - start) / 1000.0 / rounds;
        lines.add(
                String.format(
                        "job in a bundle: %d bytes of text, %d bytes of heap, %.1f us to check;"
                                + " bundle of 10 jobs and 11 workers: %d bytes, %.0f us%s",
                        (jobs.length() - small.length()) / 1000,
                        (after - before) / 1010,
                        (micros - base) / 1000,
                        small.length(),
                        base,
                        retained == null ? "!" : ""));
    }

    private static String createBundle(int jobs, int workers) {
        StringBuilder text =
                new StringBuilder("{\"version\":1,\"base\":0,\"services\":[],\"jobs\":[");
        for (int i = 0; i < jobs; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"night-scan-")
                    .append(i)
                    .append("\",\"mode\":\"manage\",\"team\":\"security\",\"cell\":\"one\",")
                    .append("\"batchClass\":\"scan\",\"tasks\":40,\"resources\":{\"cores\":2,")
                    .append(
                            "\"memoryMegabytes\":4000},\"runSeconds\":600,\"checkpointable\":true}");
        }
        text.append("],\"cells\":[{\"id\":\"one\",\"workers\":[");
        for (int i = 0; i < workers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"vm\":\"vm-")
                    .append(i)
                    .append("\",\"address\":\"10.0.0.1:7100\",\"hall\":\"h\",\"rack\":\"r\",")
                    .append("\"capacity\":{\"cores\":32,\"memoryMegabytes\":125000}}");
        }
        String key =
                java.util.Base64.getEncoder()
                        .encodeToString(
                                org.standlink.bundle.BundleSigner.generateKeyPair()
                                        .getPublic()
                                        .getEncoded());
        return text.append("]}],\"teams\":[{\"id\":\"security\"}],\"operators\":[")
                .append("{\"id\":\"ana\",\"publicKey\":\"")
                .append(key)
                .append("\"},")
                .append("{\"id\":\"ivo\",\"publicKey\":\"")
                .append(key)
                .append("\"}]}")
                .toString();
    }

    // -----------------------------------------------------------------------
    private static TaskId createTaskId(int index) {
        return TaskId.parse("night-scan-2026-12-02#" + index);
    }

    private static double measureMicros(Runnable action) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            action.run();
        }
        long start = getThreadCpuNanos();
        for (int i = 0; i < MEASURED_ROUNDS; i++) {
            action.run();
        }
        return (getThreadCpuNanos() - start) / 1000.0 / MEASURED_ROUNDS;
    }

    private static long getThreadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long getUsedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Measures the processor time and the traffic of the leader of a full cell.
     *
     * @param workers the number of workers
     * @param tasks the number of tasks on each worker
     * @return the result in one line
     */
    public static String measureLeader(int workers, int tasks) {
        return LeaderCost.measure(workers, tasks, new SimpleMeterRegistry());
    }
}
