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

/** Lets the faults of a day happen. */
final class FaultInjector {

    private static final long CUT_OFF_MILLIS = 20_000;
    private static final long LEAVE_MILLIS = 3000;

    private final SimulationEnvironment world;
    private final SimulatedCell cell;

    FaultInjector(SimulatedCell cell) {
        this.cell = cell;
        this.world = cell.getEnvironment();
    }

    /** Lets all faults happen in their time. */
    void schedule(List<SimulatedFault> faults) {
        faults.forEach(
                fault -> world.schedule(fault.startMillis() - world.elapsed(), () -> begin(fault)));
    }

    // -----------------------------------------------------------------------
    private void begin(SimulatedFault fault) {
        world.trace("FAULT " + fault);
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
            case LEADER_PARTITIONED -> cutLeaderOff(fault);
            case LEADER_CRASH -> crashLeader(fault);
            case LEADER_FROZEN ->
                    cell.newestLeader().freeze(fault.durationMillis(), fault.variant() % 2 == 0);
            default -> beginOn(cell.getMachines().get(fault.machine()), fault);
        }
    }

    private void beginOn(SimulatedMachine machine, SimulatedFault fault) {
        int choice = fault.variant();
        switch (fault.kind()) {
            case WORKER_UNRELIABLE ->
                    machine.getWorkerClient()
                            .makeUnreliable(fault.durationMillis(), 20 + choice % 60);
            case WORKER_UNRESPONSIVE ->
                    machine.getWorkerClient().makeUnresponsive(fault.durationMillis());
            case WORKER_CRASH -> crashWorker(machine, fault);
            case LINK_DELAYED, LINK_LOST -> hinder(machine, fault);
            case CHANNEL_MESSAGES_DROPPED ->
                    machine.dropChannelMessages(choice % 3 != 0, choice % 3 != 1);
            case AGENT_RESTART -> restart(machine, fault);
            case AGENT_FROZEN -> machine.freezeAgent(fault.durationMillis());
            case WORKER_DRAINS -> leave(machine);
            default -> throw new IllegalArgumentException("no fault of a machine: " + fault);
        }
    }

    private static void hinder(SimulatedMachine machine, SimulatedFault fault) {
        List<OneWayChannel.NetworkPath> directions = new ArrayList<>();
        if (fault.variant() % 3 != 0) {
            directions.add(machine.getUplink());
        }
        if (fault.variant() % 3 != 1) {
            directions.add(machine.getDownlink());
        }
        for (OneWayChannel.NetworkPath direction : directions) {
            if (fault.kind() == SimulatedFault.Kind.LINK_DELAYED) {
                direction.delay(fault.durationMillis());
            } else {
                direction.loseMessages(fault.durationMillis());
            }
        }
    }

    private void crashWorker(SimulatedMachine machine, SimulatedFault fault) {
        if (machine.getWorkerClient().getWorker().isUp()) {
            machine.crashWorker();
            world.schedule(
                    Math.min(fault.durationMillis(), 2000),
                    () -> {
                        if (!machine.getWorkerClient().getWorker().isUp()) {
                            machine.startWorker();
                        }
                    });
        }
    }

    private void leave(SimulatedMachine machine) {
        if (machine.getWorkerClient().getWorker().isUp()) {
            machine.drainWorker();
            cell.getInvariantChecker().recordImpairment(LEAVE_MILLIS);
            world.schedule(
                    LEAVE_MILLIS,
                    () -> {
                        if (!machine.getWorkerClient().getWorker().isUp()) {
                            machine.startWorker();
                        }
                    });
        }
    }

    /** The process is back at once, or after a while. */
    private void restart(SimulatedMachine machine, SimulatedFault fault) {
        if (!machine.hasAgent()) {
            return;
        }
        machine.endAgent();
        if (fault.variant() % 3 == 0) {
            // The new process hears of its worker hardly more than that it is there.
            world.schedule(world.draw(20, 700), () -> silence(machine, world.draw(500, 5000)));
        }
        long pause = fault.variant() % 2 == 0 ? 50 : Math.min(fault.durationMillis(), 8000);
        world.schedule(
                pause,
                () -> {
                    if (!machine.hasAgent()) {
                        machine.startAgent(cell.newestLeaderNotice());
                    }
                });
    }

    private void silence(SimulatedMachine machine, long millis) {
        cell.getInvariantChecker().recordImpairment(millis);
        machine.getWorkerClient().makeUnresponsive(millis);
    }

    /** Each agent learns of the new leader at a time of its own. */
    private void replaceLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.startLeader();
            announce(fault);
        }
    }

    private void overtakeLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().freeze(fault.durationMillis(), fault.variant() % 2 == 0);
            world.schedule(Math.min(fault.durationMillis(), 1300), () -> replaceLeader(fault));
        }
    }

    /** The one before grants for as long as it may, and some agents hear of no other for longer. */
    private void cutLeaderOff(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().getStore().getOwnFaults().makeUnavailable(CUT_OFF_MILLIS);
            world.schedule(Math.min(fault.durationMillis(), 1500), () -> replaceLeader(fault));
        }
    }

    private void crashLeader(SimulatedFault fault) {
        if (!cell.isLeaderless()) {
            cell.crashLeader();
            world.schedule(
                    Math.min(fault.durationMillis(), 3000),
                    () -> {
                        if (cell.isLeaderless()) {
                            cell.startLeader();
                            announce(fault);
                        }
                    });
        }
    }

    private void announce(SimulatedFault fault) {
        long longest = fault.variant() % 4 == 0 ? 8000 : 1500;
        longest = fault.kind() == SimulatedFault.Kind.LEADER_PARTITIONED ? CUT_OFF_MILLIS : longest;
        for (SimulatedMachine machine : cell.getMachines()) {
            long pause = world.draw(0, longest);
            cell.getInvariantChecker().recordImpairment(pause);
            world.schedule(pause, () -> machine.notifyOfLeader(cell.newestLeaderNotice()));
        }
    }
}
