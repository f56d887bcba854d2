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
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.bundle.Bundle;
import org.standlink.log.BundleRecord;
import org.standlink.log.LogFollower;
import org.standlink.log.RecordCodec;
import org.standlink.log.TaskState;
import org.standlink.port.TaskStart;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryWorker;
import org.standlink.wire.Heartbeat;

/** Three agents, their workers and the leader role on a fake clock, one second a step. */
final class CellHarness {

    static final CellId CELL = CellId.parse("one");

    private final FakeClock clock = new FakeClock();

    private final MemoryLog log = new MemoryLog(clock, 100, Long.MAX_VALUE / 4);

    private final LogFollower watcher = new LogFollower(log, (id, refusal) -> {});

    private final Map<String, CellNode> nodes = new TreeMap<>();

    private final List<Runnable> late = new ArrayList<>();

    private boolean logDown;

    private CellNode leader;

    private CellNode oldLeader;

    private int violations;

    CellHarness() {
        for (int i = 1; i <= 3; i++) {
            nodes.put("vm-" + i, new CellNode(i, clock, log));
        }
    }

    // -----------------------------------------------------------------------
    void publishBundle(String jobs) {
        publishBundle(jobs, "'vm-1','vm-2','vm-3'");
    }

    void publishBundle(String jobs, String upstreams) {
        long version = follow().read(fold -> fold.getBundles().getVersion()).getValue() + 1;
        String signed = Fixtures.signed(Fixtures.bundle(version, jobs, upstreams, ""));
        log.append(RecordCodec.encode(new BundleRecord(RecordCodec.newId(), signed)));
        clock.advance(20);
    }

    void claim(String vm) {
        CellNode claimant = nodes.get(vm);
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
    void runForSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            step();
        }
    }

    void step() {
        clock.advance(1000);
        try {
            leader.service.runOnce();
        } catch (StandlinkException unavailable) {
            // The log is down; what is assigned goes on.
        }
        for (CellNode node : nodes.values()) {
            if (node.reachable && node.alive) {
                sendHeartbeat(
                        node, node.followsOldLeader && oldLeader != null ? oldLeader : leader);
            }
            tick(node);
            checkInvariants();
        }
    }

    void tick(String vm) {
        tick(nodes.get(vm));
        checkInvariants();
    }

    private void tick(CellNode node) {
        Bundle bundle = node.holder.getBundle();
        if (bundle != null && node.alive) {
            Resources reserved =
                    bundle.services().get(0).upstreams().contains(node.vm)
                            ? bundle.services().get(0).reserved()
                            : Resources.NONE;
            node.supervisor.tick(CellNode.CAPACITY, reserved, node.leaving);
        }
    }

    void sendHeartbeat(String vm) {
        sendHeartbeat(nodes.get(vm), leader);
    }

    private void sendHeartbeat(CellNode node, CellNode to) {
        try {
            beatOrThrow(node, to);
        } catch (StandlinkException refused) {
            // The leader may not act; the agent goes on without a new lease.
        }
    }

    void sendHeartbeatOrThrow(String vm) {
        beatOrThrow(nodes.get(vm), leader);
    }

    void sendHeartbeatToOldLeader(String vm) {
        beatOrThrow(nodes.get(vm), oldLeader);
    }

    private void beatOrThrow(CellNode node, CellNode to) {
        long asked = clock.nowMillis();
        node.receiveAnswer(to.service.handleHeartbeat(node.createHeartbeat(to.service)), asked);
    }

    void checkInvariants() {
        Map<TaskId, Integer> places = new HashMap<>();
        for (CellNode node : nodes.values()) {
            Resources sum = Resources.NONE;
            for (TaskStart start : running(node)) {
                places.merge(start.task(), 1, Integer::sum);
                sum = sum.plus(start.resources());
                violations += holds(node, start) ? 0 : 1;
            }
            violations += sum.fitsIn(CellNode.CAPACITY) ? 0 : 1;
        }
        violations += (int) places.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Checks that the log gives an attempt to the worker that runs it: one given up runs nowhere.
     */
    private boolean holds(CellNode node, TaskStart start) {
        TaskState task = getTask(start.task());
        return task.isAssigned()
                && task.attempt().equals(start.attempt())
                && task.worker().equals(node.vm);
    }

    private static List<TaskStart> running(CellNode node) {
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
    void sendHeartbeatWithoutAnswer(String vm) {
        leader.service.handleHeartbeat(nodes.get(vm).createHeartbeat(leader.service));
    }

    void setFollowsOldLeader(String vm) {
        nodes.get(vm).followsOldLeader = true;
    }

    void setLeaving(String vm) {
        nodes.get(vm).leaving = true;
    }

    void restartAgent(String vm) {
        nodes.get(vm).startAgent();
    }

    /** Ends the agent of a VM for good, or for as long as nothing else is said. */
    void killAgent(String vm) {
        nodes.get(vm).alive = false;
    }

    /** Sends a heartbeat that is on its way until {@link #deliverDelayedHeartbeat}. */
    Heartbeat sendDelayedHeartbeat(String vm) {
        LeaderService to = leader.service;
        Heartbeat heartbeat = nodes.get(vm).createHeartbeat(to);
        late.add(() -> to.handleHeartbeat(heartbeat));
        return heartbeat;
    }

    /** Lets the oldest late heartbeat arrive; its sender takes no answer any more. */
    void deliverDelayedHeartbeat() {
        if (!late.isEmpty()) {
            late.remove(0).run();
        }
    }

    /** Lets the leader read the log without deciding anything, as it waits between two appends. */
    void readLog() {
        leader.service.runOnce();
    }

    /** Checks whether the leader was restarted, so that nobody leads until the next claim. */
    boolean isLeaderless() {
        return !leader.service.isLeading();
    }

    DelayedWorkerPort getWorkerPort(String vm) {
        return nodes.get(vm).workerPort;
    }

    MemoryWorker getWorker(String vm) {
        return nodes.get(vm).worker;
    }

    void setLogDown(boolean down) {
        logDown = down;
        log.setDown(down);
    }

    boolean isLogUp() {
        return !logDown;
    }

    void followCurrentLeader() {
        nodes.values().forEach(node -> node.followsOldLeader = false);
    }

    Map<TaskId, org.standlink.Attempt> getAttempts() {
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

    long getGrantedMilliCores(String vm) {
        return running(nodes.get(vm)).stream()
                .mapToLong(start -> start.resources().milliCores())
                .sum();
    }

    TaskState getTask(TaskId task) {
        return follow().read(fold -> fold.getCell(CELL).get(task));
    }

    TaskState findRunningTaskOn(String... vms) {
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

    long countInPhase(TaskState.Phase phase) {
        return follow().read(
                        fold ->
                                fold.getCell(CELL).getTasks().stream()
                                        .filter(t -> t.phase() == phase)
                                        .count());
    }

    int countTasks() {
        return follow().read(fold -> fold.getCell(CELL).getTasks().size());
    }

    String getTaskStatus(String task) {
        String status = leader.service.getStatus();
        int at = status.indexOf("\"task\":\"" + task + "\"");
        return status.substring(at, status.indexOf('}', at));
    }

    BundleVersion getBundleVersion(String vm) {
        return nodes.get(vm).holder.getVersion();
    }

    private LogFollower follow() {
        log.setDown(false);
        watcher.poll();
        log.setDown(logDown);
        return watcher;
    }
}
