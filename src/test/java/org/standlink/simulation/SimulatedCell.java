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
import org.standlink.Epoch;
import org.standlink.cell.CellTimes;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.EvacuationChange;
import org.standlink.job.QueueDefinition;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.LeaderNotice;

/** A whole cell: real leaders and agents, with simulated workers, channels and store. */
final class SimulatedCell {

    /** The queue of all jobs. */
    static final String QUEUE = "q";

    private static final int MOST_ATTEMPTS = 4;
    private static final int CORES = 3;
    private static final long LONGEST_READ_MILLIS = 2100;
    private static final Configuration CONFIGURATION =
            new Configuration(
                    1,
                    List.of(
                            new QueueDefinition(
                                    QUEUE,
                                    "h",
                                    "/q/",
                                    SimulatedMachine.SERVICE,
                                    0,
                                    MOST_ATTEMPTS,
                                    250,
                                    1.5,
                                    false)),
                    List.of(SimulatedMachine.SERVICE),
                    1000);

    private final SimulationEnvironment world;
    private final InvariantChecker referee;
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final StoreFaults weather;
    private final CellTimes times;
    private final List<SimulatedLeader> leaders = new ArrayList<>();
    private final List<SimulatedLeader> gone = new ArrayList<>();
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final SimulatedCallers callers;
    private EvacuatedHalls evacuated = EvacuatedHalls.NONE;
    private final ObservedEvacuations leadersOperator = new ObservedEvacuations();
    private long changes;

    /** A cell of so many machines that forgets no jobs. */
    SimulatedCell(SimulationEnvironment world, int count, boolean guarded) {
        this(world, count, guarded, Integer.MAX_VALUE);
    }

    /** A cell of so many machines, whose workers guard their room or do not. */
    SimulatedCell(SimulationEnvironment world, int count, boolean guarded, long statusMillis) {
        this.world = world;
        this.times = new CellTimes(CellTimes.MAX_LEASE_MILLIS, statusMillis);
        this.referee = new InvariantChecker(world);
        this.weather = new StoreFaults(world);
        this.callers = new SimulatedCallers(world, referee, this::newestLeader);
        startLeader();
        for (int i = 0; i < count; i++) {
            addMachine(guarded);
        }
    }

    /** Adds a machine and starts its agent. */
    SimulatedMachine addMachine(boolean guarded) {
        String name = "m" + machines.size();
        SimulatedMachine made =
                new SimulatedMachine(world, referee, name, CORES, guarded, this::find);
        machines.add(made);
        made.startAgent(newestLeaderNotice());
        return made;
    }

    SimulationEnvironment getEnvironment() {
        return world;
    }

    /** Gets what hinders calls of the store for all. */
    StoreFaults getStoreFaults() {
        return weather;
    }

    InvariantChecker getInvariantChecker() {
        return referee;
    }

    SimulatedCallers getCallers() {
        return callers;
    }

    List<SimulatedMachine> getMachines() {
        return machines;
    }

    SimulatedLeader newestLeader() {
        return leaders.get(leaders.size() - 1);
    }

    LeaderNotice newestLeaderNotice() {
        return newestLeader().toNotice();
    }

    /** Another process takes over; agents are to be told. */
    SimulatedLeader startLeader() {
        SimulatedLeader made =
                new SimulatedLeader(
                        world,
                        Epoch.of(leaders.size() + 1),
                        store,
                        weather,
                        times,
                        CONFIGURATION,
                        leadersOperator::getEvacuatedHalls,
                        this::newestLeaderNotice);
        leaders.add(made);
        return made;
    }

    /** Checks whether the newest leader's process has ended. */
    boolean isLeaderless() {
        return gone.contains(newestLeader());
    }

    /** The operator evacuates a hall or takes it back; each process reads it a little later. */
    void applyEvacuationChange(EvacuationChange change) {
        world.trace(change.toString());
        evacuated = evacuated.with(change);
        referee.evacuationAcknowledged(change);
        EvacuatedHalls told = evacuated;
        long number = ++changes;
        for (SimulatedMachine machine : machines) {
            long after = world.draw(0, LONGEST_READ_MILLIS);
            world.schedule(after, () -> machine.getObservedEvacuations().receive(number, told));
        }
        long after = world.draw(0, LONGEST_READ_MILLIS);
        world.schedule(after, () -> leadersOperator.receive(number, told));
    }

    /** Ends all that hinders; agents and a leader run again. */
    void heal() {
        weather.heal();
        leaders.forEach(leader -> leader.getStore().getOwnFaults().heal());
        if (isLeaderless()) {
            startLeader();
        }
        for (SimulatedMachine machine : machines) {
            machine.heal();
            if (!machine.hasAgent()) {
                machine.startAgent(newestLeaderNotice());
            }
            machine.notifyOfLeader(newestLeaderNotice());
        }
    }

    /** The newest leader's process ends. */
    void crashLeader() {
        crash(newestLeader());
    }

    /** The process of a leader ends. */
    void crash(SimulatedLeader leader) {
        leader.crash();
        gone.add(leader);
        machines.forEach(machine -> machine.closeChannelTo(leader));
    }

    private SimulatedLeader find(String address) {
        return leaders.stream()
                .filter(leader -> !gone.contains(leader))
                .filter(leader -> leader.toNotice().address().equals(address))
                .findFirst()
                .orElse(null);
    }
}
