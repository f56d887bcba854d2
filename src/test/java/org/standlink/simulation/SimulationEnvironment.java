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
import org.standlink.FakeLoop;
import org.standlink.lease.MonotonicClock;

/** Time, chance and notes of one simulated cell; its processes run in turn on one clock. */
final class SimulationEnvironment {

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final List<ProcessLoop> processes = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private final Random random;
    private final long startedAt = clock.nowMillis();

    /** A world in which chance rules. */
    SimulationEnvironment(long seed) {
        random = new Random(seed);
    }

    /** A world without chance: the first of all possibilities happens, and nothing fails. */
    SimulationEnvironment() {
        random = null;
    }

    /** The loop of one process, which may be frozen and ended. */
    final class ProcessLoop {

        private final FakeLoop work = new FakeLoop(clock);
        private long frozenUntil;
        private long asleepMillis;
        private long readingsLeft;
        private Throwable toBeThrown;

        ProcessLoop() {
            processes.add(this);
        }

        FakeLoop getLoop() {
            return work;
        }

        /** Lets nothing run until then; what becomes due meanwhile runs late, all at once. */
        void freeze(long millis) {
            frozenUntil = Math.max(frozenUntil, now() + millis);
        }

        /** Gets the clock of the process, which stands still while its machine is suspended. */
        MonotonicClock getClock() {
            return this::readClock;
        }

        /** Lets the clock throw when it is read for the n-th time from now on, once. */
        void throwOnClockRead(long reading, Throwable thrown) {
            readingsLeft = reading;
            toBeThrown = thrown;
        }

        private long readClock() {
            readingsLeft--;
            if (readingsLeft == 0) {
                trace("THROWN " + toBeThrown);
                if (toBeThrown instanceof Error error) {
                    throw error;
                }
                throw (RuntimeException) toBeThrown;
            }
            return clock.nowMillis() - asleepMillis;
        }

        /** Runs what is due; what is thrown on purpose ends the work that threw it. */
        private void runDue() {
            boolean all = false;
            while (!all) {
                try {
                    work.runDue();
                    all = true;
                } catch (RuntimeException | Error thrown) {
                    if (thrown != toBeThrown) {
                        throw thrown;
                    }
                }
            }
        }

        /** Suspends the machine: nothing runs, and the clock does not count that time. */
        void suspend(long millis) {
            freeze(millis);
            schedule(millis, () -> asleepMillis += millis);
        }

        boolean isFrozen() {
            return frozenUntil > now();
        }

        void end() {
            processes.remove(this);
            work.shutdown();
        }

        private long nextDue() {
            return Math.max(frozenUntil, work.nextDue());
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

    /** Tells the time since the start of the day. */
    long elapsed() {
        return now() - startedAt;
    }

    /** Draws a number from the first to the last, both included. */
    long draw(long first, long last) {
        return random == null ? first : first + random.nextInt((int) (last - first + 1));
    }

    boolean chance(int percent) {
        return random != null && random.nextInt(100) < percent;
    }

    void schedule(long millis, Runnable work) {
        loop.schedule(work, millis, TimeUnit.MILLISECONDS);
    }

    void scheduleRepeating(long millis, Runnable work) {
        loop.scheduleWithFixedDelay(work, millis, millis, TimeUnit.MILLISECONDS);
    }

    void trace(String what) {
        notes.add(String.format("%7.3f %s", elapsed() / 1000.0, what));
    }

    List<String> getTrace() {
        return notes;
    }

    /** Lets time pass until so long after the start. */
    void runUntil(long millis) {
        long end = startedAt + millis;
        while (true) {
            loop.runDue();
            for (ProcessLoop process : List.copyOf(processes)) {
                if (!process.isFrozen()) {
                    process.runDue();
                }
            }
            long next = loop.nextDue();
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
