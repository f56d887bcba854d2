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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.FakeClock;
import org.standlink.Fixtures;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.agent.ReportDelta;
import org.standlink.agent.SupervisorReport;
import org.standlink.agent.TaskSupervisor;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.lease.LeaseTimes;
import org.standlink.log.BundleRecord;
import org.standlink.log.LogFollower;
import org.standlink.log.RecordCodec;
import org.standlink.log.TaskState;
import org.standlink.port.TaskStart;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryWorker;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;

/** Three agents, their workers and the leader role on a fake clock, one second a step. */
final class TestCell {

    static final CellId CELL = CellId.parse("one");

    private static final Resources CAPACITY = Resources.ofCores(8, 16_000, 0);

    /** One agent with its worker and its leader role. */
    private final class Node {

        private final VmId vm;

        private final MemoryWorker worker;

        private Incarnation incarnation;

        private TaskSupervisor supervisor;

        private ReportDelta delta;

        private BundleHolder holder;

        private LeaderService service;

        private boolean reachable = true;

        private boolean leaving;

        private boolean followsOld;

        private Node(int number) {
            vm = VmId.parse("vm-" + number);
            worker = new MemoryWorker(clock, CAPACITY, 5000, 1, 0.6);
            boot();
        }

        private void boot() {
            incarnation = Incarnation.of(++lastIncarnation);
            delta = new ReportDelta();
            supervisor = new TaskSupervisor(vm, worker, clock);
            holder = new BundleHolder();
            LogFollower follower = new LogFollower(log, (id, refusal) -> {});
            service =
                    new LeaderService(
                            CELL,
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
    }

    private final FakeClock clock = new FakeClock();

    private final MemoryLog log = new MemoryLog(clock, 100, Long.MAX_VALUE / 4);

    private final LogFollower watcher = new LogFollower(log, (id, refusal) -> {});

    private final Map<String, Node> nodes = new TreeMap<>();

    private long lastIncarnation;

    private boolean logDown;

    private Node leader;

    private Node oldLeader;

    private int violations;

    TestCell() {
        for (int i = 1; i <= 3; i++) {
            nodes.put("vm-" + i, new Node(i));
        }
    }

    // -----------------------------------------------------------------------
    void publish(String jobs) {
        publish(jobs, "'vm-1','vm-2','vm-3'");
    }

    void publish(String jobs, String upstreams) {
        long version = follow().read(fold -> fold.getBundles().getVersion()).getValue() + 1;
        String signed = Fixtures.signed(Fixtures.bundle(version, jobs, upstreams, ""));
        log.append(RecordCodec.encode(new BundleRecord(RecordCodec.newId(), signed)));
        clock.advance(20);
    }

    void claim(String vm) {
        Node claimant = nodes.get(vm);
        try {
            claimant.service.claim();
        } finally {
            if (claimant.service.isLeading() && claimant != leader) {
                oldLeader = leader;
                leader = claimant;
            }
        }
    }

    /** Lets time pass, one second a step. */
    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            step();
        }
    }

    void step() {
        clock.advance(1000);
        try {
            leader.service.run();
        } catch (StandlinkException unavailable) {
            // The log is down; what is assigned goes on.
        }
        for (Node node : nodes.values()) {
            if (node.reachable) {
                beat(node, node.followsOld && oldLeader != null ? oldLeader : leader);
            }
            tick(node);
            check();
        }
    }

    void tick(String vm) {
        tick(nodes.get(vm));
        check();
    }

    private void tick(Node node) {
        Bundle bundle = node.holder.getBundle();
        if (bundle != null) {
            Resources reserved =
                    bundle.services().get(0).upstreams().contains(node.vm)
                            ? bundle.services().get(0).reserved()
                            : Resources.NONE;
            node.supervisor.tick(CAPACITY, reserved, node.leaving);
        }
    }

    void beat(String vm) {
        beat(nodes.get(vm), leader);
    }

    private void beat(Node node, Node to) {
        try {
            beatOrThrow(node, to);
        } catch (StandlinkException refused) {
            // The leader may not act; the agent goes on without a new lease.
        }
    }

    void heartbeatOrThrow(String vm) {
        beatOrThrow(nodes.get(vm), leader);
    }

    void heartbeatOldLeader(String vm) {
        beatOrThrow(nodes.get(vm), oldLeader);
    }

    private void beatOrThrow(Node node, Node to) {
        long asked = clock.nowMillis();
        HeartbeatAnswer answer = to.service.heartbeat(heartbeat(node, to));
        if (node.supervisor.accept(answer, asked)) {
            node.delta.answered(answer.epoch());
            node.holder.offer(answer.signedBundle(), answer.bundle());
        }
    }

    private static Heartbeat heartbeat(Node node, Node to) {
        SupervisorReport report = node.supervisor.getReport();
        ReportDelta.Part part = node.delta.next(report.tasks(), to.service.getEpoch());
        return new Heartbeat(
                node.vm,
                node.incarnation,
                part.number(),
                part.full(),
                report.epoch(),
                report.generation(),
                node.holder.getVersion(),
                report.revision(),
                node.leaving,
                report.workerReady(),
                part.tasks(),
                part.gone(),
                List.of());
    }

    void check() {
        Map<TaskId, Integer> places = new HashMap<>();
        for (Node node : nodes.values()) {
            Resources sum = Resources.NONE;
            for (TaskStart start : running(node)) {
                places.merge(start.task(), 1, Integer::sum);
                sum = sum.plus(start.resources());
            }
            violations += sum.fitsIn(CAPACITY) ? 0 : 1;
        }
        violations += (int) places.values().stream().filter(count -> count > 1).count();
    }

    private static List<TaskStart> running(Node node) {
        try {
            return node.worker.getRunning();
        } catch (StandlinkException down) {
            return new ArrayList<>();
        }
    }

    // -----------------------------------------------------------------------
    void setReachable(String vm, boolean reachable) {
        nodes.get(vm).reachable = reachable;
    }

    /** Sends a heartbeat to the leader whose answer is lost. */
    void loseAnswer(String vm) {
        leader.service.heartbeat(heartbeat(nodes.get(vm), leader));
    }

    void setFollowsOldLeader(String vm) {
        nodes.get(vm).followsOld = true;
    }

    void setLeaving(String vm) {
        nodes.get(vm).leaving = true;
    }

    void restartAgent(String vm) {
        nodes.get(vm).boot();
    }

    MemoryWorker worker(String vm) {
        return nodes.get(vm).worker;
    }

    void setLogDown(boolean down) {
        logDown = down;
        log.setDown(down);
    }

    boolean isLogUp() {
        return !logDown;
    }

    void healRouting() {
        nodes.values().forEach(node -> node.followsOld = false);
    }

    Map<TaskId, org.standlink.Attempt> attempts() {
        Map<TaskId, org.standlink.Attempt> result = new HashMap<>();
        follow().read(
                        fold -> {
                            fold.getCell(CELL)
                                    .getTasks()
                                    .forEach(t -> result.put(t.task(), t.attempt()));
                            return null;
                        });
        return result;
    }

    String getStatus() {
        return leader.service.getStatus();
    }

    MemoryLog getLog() {
        return log;
    }

    FakeClock getClock() {
        return clock;
    }

    int getViolations() {
        return violations;
    }

    int countRunning() {
        return nodes.keySet().stream().mapToInt(this::countRunning).sum();
    }

    int countRunning(String vm) {
        return running(nodes.get(vm)).size();
    }

    boolean isRunning(String task) {
        return nodes.values().stream()
                .flatMap(node -> running(node).stream())
                .anyMatch(start -> start.task().equals(TaskId.parse(task)));
    }

    long grantedMilliCores(String vm) {
        return running(nodes.get(vm)).stream()
                .mapToLong(start -> start.resources().milliCores())
                .sum();
    }

    TaskState task(TaskId task) {
        return follow().read(fold -> fold.getCell(CELL).get(task));
    }

    TaskState firstOn(String... vms) {
        List<String> wanted = List.of(vms);
        return follow().read(
                        fold ->
                                fold.getCell(CELL).getTasks().stream()
                                        .filter(TaskState::isAssigned)
                                        .filter(task -> wanted.contains(task.worker().toString()))
                                        .filter(task -> isRunning(task.task().toString()))
                                        .findFirst()
                                        .orElseThrow());
    }

    long count(TaskState.Phase phase) {
        return follow().read(
                        fold ->
                                fold.getCell(CELL).getTasks().stream()
                                        .filter(t -> t.phase() == phase)
                                        .count());
    }

    int countFolded() {
        return follow().read(fold -> fold.getCell(CELL).getTasks().size());
    }

    String waitingReason(String task) {
        String status = leader.service.getStatus();
        int at = status.indexOf("\"task\":\"" + task + "\"");
        return status.substring(at, status.indexOf('}', at));
    }

    BundleVersion getVersion(String vm) {
        return nodes.get(vm).holder.getVersion();
    }

    private LogFollower follow() {
        log.setDown(false);
        watcher.poll();
        log.setDown(logDown);
        return watcher;
    }
}
