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
 * Measures what one more task, worker, job or record costs in bytes, processor time and memory.
 *
 * <p>{@code MarginalCost} is thread-safe and immutable.
 */
public final class MarginalCost {

    /** Rounds before measuring. */
    private static final int WARM_UP = 3000;

    /** Rounds measured. */
    private static final int ROUNDS = 5000;

    /** The tasks held when memory is measured. */
    private static final int HELD = 50_000;

    /** The cell. */
    private static final CellId CELL = CellId.parse("cell-01");

    /** The size of a task. */
    private static final Resources SIZE = Resources.ofCores(2, 4000, 0);

    /** No instances. */
    private MarginalCost() {}

    /**
     * Measures everything.
     *
     * @return the results, one in a line
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        heartbeats(lines);
        records(lines);
        memory(lines);
        bundles(lines);
        return lines;
    }

    // -----------------------------------------------------------------------
    private static void heartbeats(List<String> lines) {
        for (int tasks : new int[] {0, 24, 48}) {
            Frame heartbeat = new Frame(1, false, heartbeat(tasks));
            Frame answer = new Frame(1, true, answer(tasks));
            Frame same = new Frame(1, true, answer(-1));
            double micros = micros(() -> FrameCodec.decode(FrameCodec.encode(heartbeat)));
            lines.add(
                    String.format(
                            "full heartbeat with %2d tasks: %d bytes, %.1f us to encode and decode;"
                                    + " answer with all assignments %d bytes, without %d bytes",
                            tasks,
                            FrameCodec.encode(heartbeat).length,
                            micros,
                            FrameCodec.encode(answer).length,
                            FrameCodec.encode(same).length));
        }
    }

    private static Heartbeat heartbeat(int tasks) {
        List<TaskReport> reports = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            reports.add(
                    new TaskReport(
                            task(i), Attempt.of(1), TaskReport.State.RUNNING, "123456", SIZE));
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

    private static HeartbeatAnswer answer(int tasks) {
        List<Assignment> assignments = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            assignments.add(
                    new Assignment(task(i), Attempt.of(1), SIZE, 10, 600, null, false, 100));
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

    private static void records(List<String> lines) {
        byte[] one = RecordCodec.encode(record(1));
        byte[] many = RecordCodec.encode(record(64));
        double micros = micros(() -> RecordCodec.decode(many));
        lines.add(
                String.format(
                        "record of task events: %d bytes for 1, %d for 64, so %d bytes an event;"
                                + " %.1f us to read the 64",
                        one.length, many.length, (many.length - one.length) / 63, micros));
    }

    private static BundleTaskRecord record(int events) {
        List<TaskEvent> all = new ArrayList<>();
        for (int i = 0; i < events; i++) {
            all.add(TaskEvent.ofAssign(task(i), Attempt.of(1), VmId.parse("vm-0001"), SIZE));
        }
        return new BundleTaskRecord(RecordCodec.newId(), CELL, Epoch.of(1), 1, all);
    }

    private static void memory(List<String> lines) {
        long before = usedBytes();
        CellState state = new CellState(CELL);
        state.apply(
                new ClaimRecord("id", CELL, Epoch.of(1), VmId.parse("vm-0001"), Incarnation.of(1)));
        List<TaskEvent> events = new ArrayList<>();
        for (int i = 0; i < HELD; i++) {
            events.add(
                    TaskEvent.ofAssign(task(i), Attempt.of(1), VmId.parse("vm-" + i % 32), SIZE));
        }
        state.apply(new BundleTaskRecord("id", CELL, Epoch.of(1), 1, events));
        events = null;
        long after = usedBytes();
        byte[] snapshot = RecordCodec.encode(state.createSnapshot(1, null));
        lines.add(
                String.format(
                        "task held by a leader: %d bytes of heap, %d bytes of a snapshot",
                        (after - before) / HELD, snapshot.length / HELD));
    }

    private static void bundles(List<String> lines) {
        String small = bundle(10, 11);
        String jobs = bundle(1010, 11);
        double base = micros(() -> BundleReader.read(small));
        long before = usedBytes();
        Object kept = BundleReader.read(jobs);
        long after = usedBytes();
        int rounds = 50;
        long start = threadNanos();
        for (int i = 0; i < rounds; i++) {
            BundleReader.read(jobs);
        }
        double micros = (threadNanos() - start) / 1000.0 / rounds;
        lines.add(
                String.format(
                        "job in a bundle: %d bytes of text, %d bytes of heap, %.1f us to check;"
                                + " bundle of 10 jobs and 11 workers: %d bytes, %.0f us%s",
                        (jobs.length() - small.length()) / 1000,
                        (after - before) / 1010,
                        (micros - base) / 1000,
                        small.length(),
                        base,
                        kept == null ? "!" : ""));
    }

    private static String bundle(int jobs, int workers) {
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
    private static TaskId task(int index) {
        return TaskId.parse("night-scan-2026-12-02#" + index);
    }

    private static double micros(Runnable work) {
        for (int i = 0; i < WARM_UP; i++) {
            work.run();
        }
        long start = threadNanos();
        for (int i = 0; i < ROUNDS; i++) {
            work.run();
        }
        return (threadNanos() - start) / 1000.0 / ROUNDS;
    }

    private static long threadNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Measures a leader's round with a cell of workers and tasks.
     *
     * @param workers the workers
     * @param tasks the tasks on each
     * @return the result in one line
     */
    public static String measureLeader(int workers, int tasks) {
        return LeaderCost.measure(workers, tasks, new SimpleMeterRegistry());
    }
}
