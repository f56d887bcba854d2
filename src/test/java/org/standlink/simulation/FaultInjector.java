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
        this.world = cell.getWorld();
    }

    /** Lets all faults happen in their time. */
    void schedule(List<Fault> faults) {
        faults.forEach(fault -> world.later(fault.at() - world.elapsed(), () -> begin(fault)));
    }

    // -----------------------------------------------------------------------
    private void begin(Fault fault) {
        world.note("FAULT " + fault);
        cell.getReferee().impaired(fault.millis());
        switch (fault.kind()) {
            case STORE_AWAY -> cell.getWeather().away(fault.millis());
            case STORE_REFUSES -> cell.getWeather().refuse(fault.millis());
            case STORE_SLOW -> cell.getWeather().slow(fault.millis());
            case STORE_UNHEARD -> cell.getWeather().loseAnswers(fault.millis());
            case STORE_CUT -> cell.newestLeader().getStore().getOwn().away(fault.millis());
            case LEADER_REPLACED -> replaceLeader(fault);
            case LEADER_OVERTAKEN -> overtakeLeader(fault);
            case LEADER_CUT_OFF -> cutLeaderOff(fault);
            case LEADER_CRASH -> crashLeader(fault);
            case LEADER_FROZEN ->
                    cell.newestLeader().freeze(fault.millis(), fault.choice() % 2 == 0);
            default -> beginOn(cell.getMachines().get(fault.machine()), fault);
        }
    }

    private void beginOn(SimulatedMachine machine, Fault fault) {
        int choice = fault.choice();
        switch (fault.kind()) {
            case WORKER_UNSURE -> machine.getPath().unsure(fault.millis(), 20 + choice % 60);
            case WORKER_SILENT -> machine.getPath().silence(fault.millis());
            case WORKER_CRASH -> crashWorker(machine, fault);
            case LINK_HELD, LINK_LOST -> hinder(machine, fault);
            case CHANNEL_SILENT -> machine.silenceChannel(choice % 3 != 0, choice % 3 != 1);
            case AGENT_RESTART -> restart(machine, fault);
            case AGENT_FROZEN -> machine.freezeAgent(fault.millis());
            case WORKER_LEAVES -> leave(machine);
            default -> throw new IllegalArgumentException("no fault of a machine: " + fault);
        }
    }

    private static void hinder(SimulatedMachine machine, Fault fault) {
        List<Pipe.Direction> directions = new ArrayList<>();
        if (fault.choice() % 3 != 0) {
            directions.add(machine.getUp());
        }
        if (fault.choice() % 3 != 1) {
            directions.add(machine.getDown());
        }
        for (Pipe.Direction direction : directions) {
            if (fault.kind() == Fault.Kind.LINK_HELD) {
                direction.hold(fault.millis());
            } else {
                direction.lose(fault.millis());
            }
        }
    }

    private void crashWorker(SimulatedMachine machine, Fault fault) {
        if (machine.getPath().getLife().isUp()) {
            machine.crashWorker();
            world.later(
                    Math.min(fault.millis(), 2000),
                    () -> {
                        if (!machine.getPath().getLife().isUp()) {
                            machine.beginLife();
                        }
                    });
        }
    }

    private void leave(SimulatedMachine machine) {
        if (machine.getPath().getLife().isUp()) {
            machine.leave();
            cell.getReferee().impaired(LEAVE_MILLIS);
            world.later(
                    LEAVE_MILLIS,
                    () -> {
                        if (!machine.getPath().getLife().isUp()) {
                            machine.beginLife();
                        }
                    });
        }
    }

    /** The process is back at once, or after a while. */
    private void restart(SimulatedMachine machine, Fault fault) {
        if (!machine.hasAgent()) {
            return;
        }
        machine.endAgent();
        if (fault.choice() % 3 == 0) {
            // The new process hears of its worker hardly more than that it is there.
            world.later(world.draw(20, 700), () -> silence(machine, world.draw(500, 5000)));
        }
        long pause = fault.choice() % 2 == 0 ? 50 : Math.min(fault.millis(), 8000);
        world.later(
                pause,
                () -> {
                    if (!machine.hasAgent()) {
                        machine.startAgent(cell.newestNotice());
                    }
                });
    }

    private void silence(SimulatedMachine machine, long millis) {
        cell.getReferee().impaired(millis);
        machine.getPath().silence(millis);
    }

    /** Each agent learns of the new leader at a time of its own. */
    private void replaceLeader(Fault fault) {
        if (!cell.isLeaderless()) {
            cell.lead();
            announce(fault);
        }
    }

    private void overtakeLeader(Fault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().freeze(fault.millis(), fault.choice() % 2 == 0);
            world.later(Math.min(fault.millis(), 1300), () -> replaceLeader(fault));
        }
    }

    /** The one before grants for as long as it may, and some agents hear of no other for longer. */
    private void cutLeaderOff(Fault fault) {
        if (!cell.isLeaderless()) {
            cell.newestLeader().getStore().getOwn().away(CUT_OFF_MILLIS);
            world.later(Math.min(fault.millis(), 1500), () -> replaceLeader(fault));
        }
    }

    private void crashLeader(Fault fault) {
        if (!cell.isLeaderless()) {
            cell.crashLeader();
            world.later(
                    Math.min(fault.millis(), 3000),
                    () -> {
                        if (cell.isLeaderless()) {
                            cell.lead();
                            announce(fault);
                        }
                    });
        }
    }

    private void announce(Fault fault) {
        long longest = fault.choice() % 4 == 0 ? 8000 : 1500;
        longest = fault.kind() == Fault.Kind.LEADER_CUT_OFF ? CUT_OFF_MILLIS : longest;
        for (SimulatedMachine machine : cell.getMachines()) {
            long pause = world.draw(0, longest);
            cell.getReferee().impaired(pause);
            world.later(pause, () -> machine.tell(cell.newestNotice()));
        }
    }
}
