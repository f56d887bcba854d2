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

/** A cell of real leaders and agents with simulated workers, channels, callers and store. */
final class SimulatedCell {

    /** The queue of all jobs. */
    static final String QUEUE = "q";

    private static final int MAX_ATTEMPTS = 4;
    private static final int CORES = 3;
    private static final long MAX_READ_DELAY_MILLIS = 2100;
    static final Configuration CONFIGURATION =
            new Configuration(
                    1,
                    List.of(
                            new QueueDefinition(
                                    QUEUE,
                                    "h",
                                    "/q/",
                                    SimulatedMachine.SERVICE,
                                    0,
                                    MAX_ATTEMPTS,
                                    250,
                                    1.5,
                                    false)),
                    List.of(SimulatedMachine.SERVICE),
                    1000);

    private final SimulationEnvironment environment;
    private final InvariantChecker checker;
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final StoreFaults storeFaults;
    private final CellTimes times;
    private final List<SimulatedLeader> leaders = new ArrayList<>();
    private final List<SimulatedLeader> endedLeaders = new ArrayList<>();
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final SimulatedCallers callers;
    private EvacuatedHalls evacuatedHalls = EvacuatedHalls.NONE;
    private final ObservedEvacuations leaderEvacuations = new ObservedEvacuations();
    private long changeCount;

    /** Creates a cell that retains the states of all jobs. */
    SimulatedCell(SimulationEnvironment environment, int count, boolean enforcesCapacity) {
        this(environment, count, enforcesCapacity, Integer.MAX_VALUE);
    }

    /** Creates a cell whose workers enforce their capacity or do not. */
    SimulatedCell(
            SimulationEnvironment environment,
            int count,
            boolean enforcesCapacity,
            long statusRetentionMillis) {
        this.environment = environment;
        this.times = new CellTimes(CellTimes.MAX_LEASE_MILLIS, statusRetentionMillis);
        this.checker = new InvariantChecker(environment);
        this.storeFaults = new StoreFaults(environment);
        this.callers = new SimulatedCallers(environment, checker, this::newestLeader);
        startLeader();
        for (int i = 0; i < count; i++) {
            addMachine(enforcesCapacity);
        }
    }

    /** Adds a machine and starts its agent. */
    SimulatedMachine addMachine(boolean enforcesCapacity) {
        String name = "m" + machines.size();
        SimulatedMachine machine =
                new SimulatedMachine(
                        environment, checker, name, CORES, enforcesCapacity, this::find);
        machines.add(machine);
        machine.startAgent(newestLeaderNotice());
        return machine;
    }

    SimulationEnvironment getEnvironment() {
        return environment;
    }

    /** Gets the faults of the store that affect all processes. */
    StoreFaults getStoreFaults() {
        return storeFaults;
    }

    InvariantChecker getInvariantChecker() {
        return checker;
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

    /** Starts a leader of the next epoch; the agents have to be notified separately. */
    SimulatedLeader startLeader() {
        SimulatedLeader leader =
                new SimulatedLeader(
                        environment,
                        Epoch.of(leaders.size() + 1),
                        store,
                        storeFaults,
                        times,
                        CONFIGURATION,
                        leaderEvacuations::getEvacuatedHalls,
                        this::newestLeaderNotice);
        leaders.add(leader);
        return leader;
    }

    /** Checks whether the process of the newest leader has ended. */
    boolean isLeaderless() {
        return endedLeaders.contains(newestLeader());
    }

    /** Changes the evacuation of a hall; each process reads the change after a delay of its own. */
    void applyEvacuationChange(EvacuationChange change) {
        environment.trace(change.toString());
        evacuatedHalls = evacuatedHalls.with(change);
        checker.evacuationAcknowledged(change);
        EvacuatedHalls halls = evacuatedHalls;
        long number = ++changeCount;
        for (SimulatedMachine machine : machines) {
            long delayMillis = environment.draw(0, MAX_READ_DELAY_MILLIS);
            environment.schedule(
                    delayMillis, () -> machine.getObservedEvacuations().receive(number, halls));
        }
        long delayMillis = environment.draw(0, MAX_READ_DELAY_MILLIS);
        environment.schedule(delayMillis, () -> leaderEvacuations.receive(number, halls));
    }

    /** Ends all faults and restarts the processes that have ended. */
    void heal() {
        storeFaults.heal();
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

    /** Ends the process of the newest leader. */
    void crashLeader() {
        crash(newestLeader());
    }

    /** Ends the process of a leader and closes its channels. */
    void crash(SimulatedLeader leader) {
        leader.crash();
        endedLeaders.add(leader);
        machines.forEach(machine -> machine.closeChannelTo(leader));
    }

    private SimulatedLeader find(String address) {
        return leaders.stream()
                .filter(leader -> !endedLeaders.contains(leader))
                .filter(leader -> leader.toNotice().address().equals(address))
                .findFirst()
                .orElse(null);
    }
}
