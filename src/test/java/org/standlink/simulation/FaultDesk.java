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

/** Draws the faults of a day and lets them happen. */
final class FaultDesk {

    /** How long authority and a lease take together, with some time before and after. */
    private static final long FIRST_LAPSE_MILLIS = 8400;

    private static final long LAST_LAPSE_MILLIS = 9800;
    private static final long LONGEST_MILLIS = 10_000;
    private static final long LEAVE_MILLIS = 3000;
    private static final int MOST_FAULTS = 16;

    /** The forms of days: with few faults, with a burst, with clusters at one machine each. */
    private static final int FORMS = 5;

    private static final int FEW_FORM = 0;
    private static final int BURST_FORM = 1;
    private static final int LAST_CLUSTER_FORM = 3;
    private static final long CLUSTER_MILLIS = 11_000;
    private static final long TOGETHER_MILLIS = 5000;
    private static final int MOST_IN_CLUSTER = 6;
    private static final int FEW_FAULTS = 3;
    private static final long BURST_MILLIS = 6000;

    private final World world;
    private final SimulatedCell cell;

    FaultDesk(SimulatedCell cell) {
        this.cell = cell;
        this.world = cell.getWorld();
    }

    /** Draws the faults of one day. */
    static List<Fault> draw(long seed, int machines, long from, long until) {
        Random random = new Random(seed * 31 + 7);
        List<Fault> faults = new ArrayList<>();
        Fault.Kind[] kinds = Fault.Kind.values();
        int form = (int) (seed % FORMS);
        if (form == FEW_FORM) {
            add(
                    faults,
                    random,
                    kinds,
                    -1,
                    machines,
                    1 + random.nextInt(FEW_FAULTS),
                    new Span(from, until));
        } else if (form == BURST_FORM) {
            long begin = from + random.nextInt((int) (until - from - BURST_MILLIS));
            int count = 3 + random.nextInt(MOST_FAULTS - 2);
            add(faults, random, kinds, -1, machines, count, new Span(begin, begin + BURST_MILLIS));
        } else if (form <= LAST_CLUSTER_FORM) {
            for (long begin = from; begin < until; begin += CLUSTER_MILLIS) {
                int count = 2 + random.nextInt(MOST_IN_CLUSTER - 1);
                int machine = random.nextInt(machines);
                Fault.Kind[] near = Fault.Kind.ofMachines();
                add(
                        faults,
                        random,
                        near,
                        machine,
                        machines,
                        count,
                        new Span(begin, begin + TOGETHER_MILLIS));
            }
        } else {
            int count = 3 + random.nextInt(MOST_FAULTS - 2);
            add(faults, random, kinds, -1, machines, count, new Span(from, until));
        }
        return faults;
    }

    /** A stretch of the day, in milliseconds from its begin. */
    private record Span(long from, long until) {}

    /** Draws faults of one machine, or of all if the number is negative. */
    private static void add(
            List<Fault> faults,
            Random random,
            Fault.Kind[] kinds,
            int machine,
            int machines,
            int count,
            Span span) {
        for (int i = 0; i < count; i++) {
            long at = span.from() + random.nextInt((int) (span.until() - span.from()));
            Fault.Kind kind = kinds[random.nextInt(kinds.length)];
            long millis = 300 + random.nextInt((int) LONGEST_MILLIS - 300);
            if (random.nextInt(4) == 0) {
                long lapses = LAST_LAPSE_MILLIS - FIRST_LAPSE_MILLIS;
                millis = FIRST_LAPSE_MILLIS + random.nextInt((int) lapses);
            } else if (random.nextBoolean()) {
                millis /= 4;
            }
            int where = machine < 0 ? random.nextInt(machines) : machine;
            faults.add(new Fault(at, kind, where, millis, random.nextInt(1000)));
        }
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
        long pause = fault.choice() % 2 == 0 ? 50 : Math.min(fault.millis(), 8000);
        world.later(
                pause,
                () -> {
                    if (!machine.hasAgent()) {
                        machine.startAgent(cell.newestNotice());
                    }
                });
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
        for (SimulatedMachine machine : cell.getMachines()) {
            long pause = world.draw(0, longest);
            cell.getReferee().impaired(pause);
            world.later(pause, () -> machine.tell(cell.newestNotice()));
        }
    }
}
