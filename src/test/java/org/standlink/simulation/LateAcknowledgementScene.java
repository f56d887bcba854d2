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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.standlink.runner.CallResult;

/**
 * A cell of two machines, whose first worker leaves a start call and a renewal that acknowledges
 * ends unanswered. Both are held until a later incarnation of that worker executes them: first the
 * start, and the renewal once the run has ended, before any agent has seen that end.
 */
final class LateAcknowledgementScene {

    private static final long SUBMISSION_MILLIS = 1500;
    private static final long MAX_CALL_MILLIS = 1500;

    /** Duration of the tasks whose start is held. */
    private static final long WORK_MILLIS = 400;

    private static final long AGENT_RESTART_MILLIS = 200;

    /** When the run that was started late has certainly ended. */
    private static final long ENDED_MILLIS = WORK_MILLIS + 100;

    private static final long LOST_MESSAGES_MILLIS = 5000;
    private static final long NEVER_MILLIS = 1_000_000;
    private static final long SETTLING_MILLIS = 25_000;

    private final SimulationEnvironment environment = new SimulationEnvironment();
    private final SimulatedCell cell = new SimulatedCell(environment, 2, false);
    private final SimulatedMachine machine = cell.getMachines().get(0);
    private final UnreliableWorkerClient client = machine.getWorkerClient();
    private int jobCount;

    /** Why no agent sees the end of the run that is started late. */
    enum Blindness {
        /** The agent was restarted and receives no message of the leader. */
        AGENT_RESTARTED,
        /** The worker answers no call. */
        UNRESPONSIVE_WORKER
    }

    LateAcknowledgementScene() {
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        environment.runUntil(SUBMISSION_MILLIS);
    }

    /** Gets the machine whose worker receives the calls. */
    SimulatedMachine getMachine() {
        return machine;
    }

    /** Gets the client of the worker of that machine. */
    UnreliableWorkerClient getClient() {
        return client;
    }

    /** Replaces the agent process of that machine. */
    void replaceAgent() {
        machine.endAgent();
        machine.startAgent(cell.newestLeaderNotice());
    }

    /** Replaces the leader; the agents learn of it at once. */
    void replaceLeader() {
        cell.crashLeader();
        cell.startLeader();
        cell.getMachines().forEach(m -> m.notifyOfLeader(cell.newestLeaderNotice()));
    }

    /** Submits a job of four tasks, two for each machine. */
    void submit(long workMillis) {
        jobCount++;
        cell.getCallers()
                .submit(
                        SimulatedCallers.createJob(
                                String.format("%016x", jobCount), 4, workMillis));
    }

    /** Advances by a time. */
    void advance(long millis) {
        environment.runUntil(environment.elapsed() + millis);
    }

    /** Holds the next acknowledgement, which follows the ends of a job. */
    void holdAcknowledgement() {
        client.holdNextAcknowledgement();
        submit(100);
        advanceUntil("acknowledgement", client::hasHeldAcknowledgement);
    }

    /** Holds the first start of another job. */
    void holdStart() {
        client.holdNextStarts(1);
        submit(WORK_MILLIS);
        advanceUntil("start", () -> client.countHeldStarts() == 1);
    }

    private void advanceUntil(String name, BooleanSupplier condition) {
        long limit = environment.elapsed() + MAX_CALL_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(environment.elapsed() < limit, () -> name + "\n" + describeTrace());
            advance(1);
        }
    }

    /** Lets the worker crash and restart, and its next incarnation execute the held calls. */
    void executeHeldCalls(Blindness blindness) {
        machine.crashWorker();
        if (blindness == Blindness.AGENT_RESTARTED) {
            machine.getUplink().loseMessages(LOST_MESSAGES_MILLIS);
            machine.getDownlink().loseMessages(LOST_MESSAGES_MILLIS);
            machine.endAgent();
        } else {
            client.makeUnresponsive(ENDED_MILLIS + 1, NEVER_MILLIS);
        }
        machine.startWorker();
        int starts = cell.getInvariantChecker().countStarts();
        assertEquals(CallResult.Kind.DONE, client.executeHeldStart().kind(), this::describeTrace);
        assertEquals(starts + 1, cell.getInvariantChecker().countStarts(), this::describeTrace);
        advance(AGENT_RESTART_MILLIS);
        if (!machine.hasAgent()) {
            machine.startAgent(cell.newestLeaderNotice());
        }
        advance(ENDED_MILLIS - AGENT_RESTART_MILLIS);
        if (client.hasHeldAcknowledgement()) {
            client.executeHeldAcknowledgement();
        }
    }

    /** Lets the cell recover and returns the violations. */
    List<String> finish() {
        advance(SETTLING_MILLIS);
        return new ArrayList<>(cell.getInvariantChecker().finish());
    }

    String describeTrace() {
        return String.join("\n", environment.getTrace());
    }
}
