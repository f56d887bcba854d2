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

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;
import org.standlink.job.JobDefinition;
import org.standlink.job.TaskName;
import org.standlink.runner.CallResult;

/**
 * A cell of two machines, whose first worker has received the first start call for the only task,
 * which is held until the next incarnation of that worker executes it.
 */
final class LateStartScene {

    private static final long SUBMISSION_MILLIS = 1550;
    private static final long MAX_FIRST_CALL_MILLIS = 100;

    /** The time in which the agent and the leader handle what has happened. */
    private static final long SETTLING_MILLIS = 4000;

    private static final long NEVER_MILLIS = 1_000_000;

    private final SimulationEnvironment environment = new SimulationEnvironment();
    private final SimulatedCell cell = new SimulatedCell(environment, 2, false);
    private final SimulatedMachine machine = cell.getMachines().get(0);
    private final UnreliableWorkerClient client = machine.getWorkerClient();
    private final TaskName task;
    private long calledAt = SUBMISSION_MILLIS;
    private CallResult lateResult;
    private boolean lateStart;

    /** The times of the execution of a call and of the start of its worker. */
    record Timing(long delayMillis, long gapMillis, boolean unresponsive) {

        long restartMillis() {
            return delayMillis - gapMillis;
        }

        @Override
        public String toString() {
            return "executed after "
                    + delayMillis
                    + ", worker started "
                    + gapMillis
                    + " before"
                    + (unresponsive ? ", unresponsive" : "");
        }
    }

    LateStartScene(long workMillis, int heldStarts) {
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        environment.runUntil(SUBMISSION_MILLIS);
        client.holdNextStarts(heldStarts);
        JobDefinition job = SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 1, workMillis);
        cell.getCallers().submit(job);
        task = SimulatedCallers.listTasks(job).get(0);
        runUntil(MAX_FIRST_CALL_MILLIS, () -> client.countHeldStarts() == 1);
        calledAt = environment.elapsed();
    }

    SimulationEnvironment getEnvironment() {
        return environment;
    }

    SimulatedCell getCell() {
        return cell;
    }

    InvariantChecker getInvariantChecker() {
        return cell.getInvariantChecker();
    }

    /** Gets the machine whose worker received the first start call. */
    SimulatedMachine getMachine() {
        return machine;
    }

    /** Gets the client of the worker of that machine. */
    UnreliableWorkerClient getClient() {
        return client;
    }

    TaskName getTask() {
        return task;
    }

    /** Gets the result of the held call, which the next incarnation executed. */
    CallResult getLateResult() {
        return lateResult;
    }

    /** Checks whether the held call started a run. */
    boolean isStartedLate() {
        return lateStart;
    }

    /** Advances to a time after the first call. */
    void runUntil(long millis) {
        environment.runUntil(calledAt + millis);
    }

    /** Advances until a condition holds, which must happen before a time. */
    void runUntil(long millis, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            long next = environment.elapsed() + 1;
            assertTrue(next <= calledAt + millis, () -> "in time\n" + describeTrace());
            environment.runUntil(next);
        }
    }

    long elapsed() {
        return environment.elapsed() - calledAt;
    }

    /** Leaves all calls unanswered for a time; they are not executed. */
    void makeUnresponsive(long millis) {
        client.makeUnresponsive(millis, NEVER_MILLIS);
    }

    void crashWorkerAt(long millis) {
        runUntil(millis);
        machine.crashWorker();
    }

    void replaceLeader() {
        cell.crashLeader();
        cell.startLeader();
        cell.getMachines().forEach(m -> m.notifyOfLeader(cell.newestLeaderNotice()));
    }

    /** Starts the worker again and executes the held call there. */
    void restartAndExecute(Timing timing) {
        runUntil(timing.restartMillis());
        machine.startWorker();
        if (timing.unresponsive()) {
            makeUnresponsive(timing.gapMillis() + 1);
        }
        runUntil(timing.delayMillis());
        int before = cell.getInvariantChecker().countStarts();
        lateResult = client.executeHeldStart();
        lateStart = cell.getInvariantChecker().countStarts() == before + 1;
    }

    void settle() {
        environment.runUntil(environment.elapsed() + SETTLING_MILLIS);
    }

    String describeTrace() {
        return String.join("\n", environment.getTrace());
    }
}
