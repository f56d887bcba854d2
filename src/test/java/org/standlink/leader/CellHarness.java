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
import org.standlink.BundleFixtures;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.FakeClock;
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

/**
 * A cell of three agents, their workers and their leader roles on a fake clock, which advances by
 * one second per step.
 */
final class CellHarness {

    static final CellId CELL = CellId.parse("one");

    private final FakeClock clock = new FakeClock();

    private final MemoryLog log = new MemoryLog(clock, 100, Long.MAX_VALUE / 4);

    private final LogFollower follower = new LogFollower(log, (id, refusal) -> {});

    private final Map<String, CellNode> nodes = new TreeMap<>();

    private final List<Runnable> delayedHeartbeats = new ArrayList<>();

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
        long version = pollLog().read(fold -> fold.getBundles().getVersion()).getValue() + 1;
        String signed = BundleFixtures.signed(BundleFixtures.bundle(version, jobs, upstreams, ""));
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
            // The log is unavailable; assigned tasks continue.
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

    private void sendHeartbeat(CellNode node, CellNode receiver) {
        try {
            sendHeartbeatOrThrow(node, receiver);
        } catch (StandlinkException refused) {
            // The leader may not act; the agent continues without a new lease.
        }
    }

    void sendHeartbeatOrThrow(String vm) {
        sendHeartbeatOrThrow(nodes.get(vm), leader);
    }

    void sendHeartbeatToOldLeader(String vm) {
        sendHeartbeatOrThrow(nodes.get(vm), oldLeader);
    }

    private void sendHeartbeatOrThrow(CellNode node, CellNode receiver) {
        long sentMillis = clock.nowMillis();
        node.receiveAnswer(
                receiver.service.handleHeartbeat(node.createHeartbeat(receiver.service)),
                sentMillis);
    }

    void checkInvariants() {
        Map<TaskId, Integer> places = new HashMap<>();
        for (CellNode node : nodes.values()) {
            Resources used = Resources.NONE;
            for (TaskStart start : listRunning(node)) {
                places.merge(start.task(), 1, Integer::sum);
                used = used.plus(start.resources());
                violations += isAssignedHere(node, start) ? 0 : 1;
            }
            violations += used.fitsIn(CellNode.CAPACITY) ? 0 : 1;
        }
        violations += (int) places.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Checks that the log assigns a running attempt to the worker that runs it, as an abandoned
     * attempt must run nowhere.
     */
    private boolean isAssignedHere(CellNode node, TaskStart start) {
        TaskState task = getTask(start.task());
        return task.isAssigned()
                && task.attempt().equals(start.attempt())
                && task.worker().equals(node.vm);
    }

    private static List<TaskStart> listRunning(CellNode node) {
        try {
            return node.worker.getRunningAttempts();
        } catch (StandlinkException down) {
            return new ArrayList<>();
        }
    }

    // -----------------------------------------------------------------------
    void setReachable(String vm, boolean reachable) {
        nodes.get(vm).reachable = reachable;
    }

    /** Sends the leader a heartbeat whose answer is lost. */
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

    /** Stops the agent of a VM until {@link #restartAgent}. */
    void killAgent(String vm) {
        nodes.get(vm).alive = false;
    }

    /** Sends a heartbeat that arrives only with {@link #deliverDelayedHeartbeat}. */
    Heartbeat sendDelayedHeartbeat(String vm) {
        LeaderService receiver = leader.service;
        Heartbeat heartbeat = nodes.get(vm).createHeartbeat(receiver);
        delayedHeartbeats.add(() -> receiver.handleHeartbeat(heartbeat));
        return heartbeat;
    }

    /** Delivers the oldest delayed heartbeat, whose sender no longer accepts an answer. */
    void deliverDelayedHeartbeat() {
        if (!delayedHeartbeats.isEmpty()) {
            delayedHeartbeats.remove(0).run();
        }
    }

    /**
     * Has the leader read the log without deciding anything, as the interval between two appends
     * has not passed.
     */
    void readLog() {
        leader.service.runOnce();
    }

    /** Checks whether there is no leader until the next claim, as the last one was restarted. */
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
        pollLog()
                .read(
                        fold -> {
                            fold.getCellState(CELL)
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
        return listRunning(nodes.get(vm)).size();
    }

    boolean isRunning(String task) {
        return nodes.values().stream()
                .flatMap(node -> listRunning(node).stream())
                .anyMatch(start -> start.task().equals(TaskId.parse(task)));
    }

    long getGrantedMilliCores(String vm) {
        return listRunning(nodes.get(vm)).stream()
                .mapToLong(start -> start.resources().milliCores())
                .sum();
    }

    TaskState getTask(TaskId task) {
        return pollLog().read(fold -> fold.getCellState(CELL).getTask(task));
    }

    TaskState findRunningTaskOn(String... vms) {
        List<String> wanted = List.of(vms);
        return pollLog()
                .read(
                        fold ->
                                fold.getCellState(CELL).getTasks().stream()
                                        .filter(TaskState::isAssigned)
                                        .filter(task -> wanted.contains(task.worker().toString()))
                                        .filter(task -> isRunning(task.task().toString()))
                                        .findFirst()
                                        .orElseThrow());
    }

    long countInPhase(TaskState.Phase phase) {
        return pollLog()
                .read(
                        fold ->
                                fold.getCellState(CELL).getTasks().stream()
                                        .filter(t -> t.phase() == phase)
                                        .count());
    }

    int countTasks() {
        return pollLog().read(fold -> fold.getCellState(CELL).getTasks().size());
    }

    /** Gets the part of the leader's status that describes a task, as a JSON text. */
    String getTaskStatus(String task) {
        String status = leader.service.getStatus();
        int at = status.indexOf("\"task\":\"" + task + "\"");
        return status.substring(at, status.indexOf('}', at));
    }

    BundleVersion getBundleVersion(String vm) {
        return nodes.get(vm).holder.getVersion();
    }

    /** Reads the log, also while it is unavailable to the nodes. */
    private LogFollower pollLog() {
        log.setDown(false);
        follower.poll();
        log.setDown(logDown);
        return follower;
    }
}
