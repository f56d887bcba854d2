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
package org.standlink.simulation;

import java.util.ArrayList;
import java.util.List;

/** Injects the faults of a simulated day into its cell. */
final class FaultInjector {

    private static final long PARTITION_MILLIS = 20_000;
    private static final long DRAIN_MILLIS = 3000;

    private final SimulationEnvironment environment;
    private final SimulatedCell cell;

    FaultInjector(SimulatedCell cell) {
        this.cell = cell;
        this.environment = cell.getEnvironment();
    }

    /** Schedules all faults at their start times. */
    void schedule(List<SimulatedFault> faults) {
        faults.forEach(
                fault ->
                        environment.schedule(
                                fault.startMillis() - environment.elapsed(), () -> inject(fault)));
    }

    // -----------------------------------------------------------------------
    private void inject(SimulatedFault fault) {
        environment.trace("FAULT " + fault);
        cell.getInvariantChecker().recordImpairment(fault.durationMillis());
        switch (fault.kind()) {
            case STORE_UNAVAILABLE -> cell.getStoreFaults().makeUnavailable(fault.durationMillis());
            case STORE_REFUSES -> cell.getStoreFaults().refuseCalls(fault.durationMillis());
            case STORE_SLOW -> cell.getStoreFaults().slowDown(fault.durationMillis());
            case STORE_ANSWERS_LOST -> cell.getStoreFaults().loseAnswers(fault.durationMillis());
            case LEADER_STORE_UNAVAILABLE ->
                    cell.newestLeader()
                            .getStore()
                            .getOwnFaults()
                            .makeUnavailable(fault.durationMillis());
            case LEADER_REPLACED -> replaceLeader(fault);
            case LEADER_OVERTAKEN -> overtakeLeader(fault);
            case LEADER_PARTITIONED -> partitionLeader(fault);
            case LEADER_CRASH -> crashLeader(fault);
            case LEADER_FROZEN ->
                    cell.newestLeader().freeze(fault.durationMillis(), fault.variant() % 2 == 0);
            default -> injectOnMachine(cell.getMachines().get(fault.machine()), fault);
        }
    }

    private void injectOnMachine(SimulatedMachine machine, SimulatedFault fault) {
        int variant = fault.variant();
        switch (fault.kind()) {
            case WORKER_UNRELIABLE ->
                    machine.getWorkerClient()
                            .makeUnreliable(fault.durationMillis(), 20 + variant % 60);
            case WORKER_UNRESPONSIVE ->
                    machine.getWorkerClient().makeUnresponsive(fault.durationMillis());
            case WORKER_CRASH -> crashWorker(machine, fault);
            case LINK_DELAYED, LINK_LOST -> impairLink(machine, fault);
            case CHANNEL_MESSAGES_DROPPED ->
                    machine.dropChannelMessages(variant % 3 != 0, variant % 3 != 1);
            case AGENT_RESTART -> restartAgent(machine, fault);
            case AGENT_FROZEN -> machine.freezeAgent(fault.durationMillis());
            case WORKER_DRAINS -> drainWorker(machine);
            default -> throw new IllegalArgumentException("not a fault of a machine: " + fault);
        }
    }

    private static void impairLink(SimulatedMachine machine, SimulatedFault fault) {
        List<OneWayChannel.NetworkPath> paths = new ArrayList<>();
        if (fault.variant() % 3 != 0) {
            paths.add(machine.getUplink());
        }
        if (fault.variant() % 3 != 1) {
            paths.add(machine.getDownlink());
        }
        for (OneWayChannel.NetworkPath path : paths) {
            if (fault.kind() == SimulatedFault.Kind.LINK_DELAYED) {
                path.delay(fault.durationMillis());
            } else {
                path.loseMessages(fault.durationMillis());
            }
        }
    }

    private void crashWorker(SimulatedMachine machine, SimulatedFault fault) {
        if (machine.getWorkerClient().getWorker().isUp()) {
            machine.crashWorker();
            environment.schedule(
                    Math.min(fault.durationMillis(), 2000),
                    () -> {
                        if (!machine.getWorkerClient().getWorker().isUp()) {
                            machine.startWorker();
                        }
                    });
        }
    }

    private void drainWorker(SimulatedMachine machine) {
        if (machine.getWorkerClient().getWorker().isUp()) {
            machine.drainWorker();
            cell.getInvariantChecker().recordImpairment(DRAIN_MILLIS);
            environment.schedule(
                    DRAIN_MILLIS,
                    () -> {
                        if (!machine.getWorkerClient().getWorker().isUp()) {
                            machine.startWorker();
                        }
                    });
        }
    }

    /** Ends the agent process and starts a new one almost at once or after a delay. */
    private void restartAgent(SimulatedMachine machine, SimulatedFault fault) {
        if (!machine.hasAgent()) {
            return;
        }
        machine.endAgent();
        if (fault.variant() % 3 == 0) {
            // The worker answers the new process only briefly before it becomes unresponsive.
            environment.schedule(
                    environment.draw(20, 700),
                    () -> makeWorkerUnresponsive(machine, environment.draw(500, 5000)));
        }
        long delayMillis = fault.variant() % 2 == 0 ? 50 : Math.min(fault.durationMillis(), 8000);
        environment.schedule(
                delayMillis,
                () -> {
                    if (!machine.hasAgent()) {
                        machine.startAgent(cell.newestLeaderNotice());
                    }
                });
    }

    private void makeWorkerUnresponsive(SimulatedMachine machine, long millis) {
        cell.getInvariantChecker().recordImpairment(millis);
        machine.getWorkerClient().makeUnresponsive(millis);
    }

    /** Starts a new leader, which each agent learns of after a delay of its own. */
    private void replaceLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.startLeader();
            announceLeader(fault);
        }
    }

    private void overtakeLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().freeze(fault.durationMillis(), fault.variant() % 2 == 0);
            environment.schedule(
                    Math.min(fault.durationMillis(), 1300), () -> replaceLeader(fault));
        }
    }

    /**
     * Partitions the leader from the store, so it grants leases until its authority ends, and
     * starts another one, which some agents learn of only later than that.
     */
    private void partitionLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().getStore().getOwnFaults().makeUnavailable(PARTITION_MILLIS);
            environment.schedule(
                    Math.min(fault.durationMillis(), 1500), () -> replaceLeader(fault));
        }
    }

    private void crashLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.crashLeader();
            environment.schedule(
                    Math.min(fault.durationMillis(), 3000),
                    () -> {
                        if (cell.isLeaderless()) {
                            cell.startLeader();
                            announceLeader(fault);
                        }
                    });
        }
    }

    private void announceLeader(SimulatedFault fault) {
        long maxDelayMillis = fault.variant() % 4 == 0 ? 8000 : 1500;
        maxDelayMillis =
                fault.kind() == SimulatedFault.Kind.LEADER_PARTITIONED
                        ? PARTITION_MILLIS
                        : maxDelayMillis;
        for (SimulatedMachine machine : cell.getMachines()) {
            long delayMillis = environment.draw(0, maxDelayMillis);
            cell.getInvariantChecker().recordImpairment(delayMillis);
            environment.schedule(
                    delayMillis, () -> machine.notifyOfLeader(cell.newestLeaderNotice()));
        }
    }
}
