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
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.lease.MonotonicClock;

/**
 * The clock, the random numbers and the trace of one simulated cell. All processes of the cell run
 * in turn on one thread and one clock, so a run with a given seed is reproducible.
 */
final class SimulationEnvironment {

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final List<ProcessLoop> processes = new ArrayList<>();
    private final List<String> traceLines = new ArrayList<>();
    private final Random random;
    private final long startedAt = clock.nowMillis();

    /** Creates an environment whose draws depend on the seed. */
    SimulationEnvironment(long seed) {
        random = new Random(seed);
    }

    /**
     * Creates a deterministic environment: each draw returns its lower bound, and {@link #chance}
     * is always false.
     */
    SimulationEnvironment() {
        random = null;
    }

    /** The event loop of one process, which can be frozen, suspended and ended. */
    final class ProcessLoop {

        private final FakeEventLoop processLoop = new FakeEventLoop(clock);
        private long frozenUntil;
        private long suspendedMillis;
        private long clockReadsLeft;
        private Throwable scheduledThrowable;

        ProcessLoop() {
            processes.add(this);
        }

        FakeEventLoop getLoop() {
            return processLoop;
        }

        /** Stops the loop for a time; tasks that become due meanwhile all run at its end. */
        void freeze(long millis) {
            frozenUntil = Math.max(frozenUntil, now() + millis);
        }

        /** Gets the clock of the process, which does not advance while its machine is suspended. */
        MonotonicClock getClock() {
            return this::readClock;
        }

        /** Makes the clock throw once, at the n-th read from now on. */
        void throwOnClockRead(long clockReads, Throwable throwable) {
            clockReadsLeft = clockReads;
            scheduledThrowable = throwable;
        }

        private long readClock() {
            clockReadsLeft--;
            if (clockReadsLeft == 0) {
                trace("THROWN " + scheduledThrowable);
                if (scheduledThrowable instanceof Error error) {
                    throw error;
                }
                throw (RuntimeException) scheduledThrowable;
            }
            return clock.nowMillis() - suspendedMillis;
        }

        /** Runs all due tasks; the scheduled exception ends only the task that threw it. */
        private void runDue() {
            boolean finished = false;
            while (!finished) {
                try {
                    processLoop.runDue();
                    finished = true;
                } catch (RuntimeException | Error throwable) {
                    if (throwable != scheduledThrowable) {
                        throw throwable;
                    }
                }
            }
        }

        /** Suspends the machine: nothing runs, and the clock of the process does not advance. */
        void suspend(long millis) {
            freeze(millis);
            schedule(millis, () -> suspendedMillis += millis);
        }

        boolean isFrozen() {
            return frozenUntil > now();
        }

        void end() {
            processes.remove(this);
            processLoop.shutdown();
        }

        private long nextDue() {
            return Math.max(frozenUntil, processLoop.getNextDueMillis());
        }
    }

    ProcessLoop newProcess() {
        return new ProcessLoop();
    }

    FakeClock getClock() {
        return clock;
    }

    long now() {
        return clock.nowMillis();
    }

    /** Gets the milliseconds since the start of the simulation. */
    long elapsed() {
        return now() - startedAt;
    }

    /** Draws a number between two bounds, both inclusive. */
    long draw(long first, long last) {
        return random == null ? first : first + random.nextInt((int) (last - first + 1));
    }

    /** Draws whether an event of the given probability occurs. */
    boolean chance(int percent) {
        return random != null && random.nextInt(100) < percent;
    }

    void schedule(long millis, Runnable task) {
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    void scheduleRepeating(long millis, Runnable task) {
        loop.scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    void trace(String message) {
        traceLines.add(String.format("%7.3f %s", elapsed() / 1000.0, message));
    }

    List<String> getTrace() {
        return traceLines;
    }

    /** Advances the simulation to a time after its start, in milliseconds. */
    void runUntil(long millis) {
        long end = startedAt + millis;
        while (true) {
            loop.runDue();
            for (ProcessLoop process : List.copyOf(processes)) {
                if (!process.isFrozen()) {
                    process.runDue();
                }
            }
            long next = loop.getNextDueMillis();
            for (ProcessLoop process : processes) {
                next = Math.min(next, process.nextDue());
            }
            if (next > end) {
                clock.advance(Math.max(0, end - now()));
                return;
            }
            clock.advance(Math.max(0, next - now()));
        }
    }
}
