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
package org.standlink.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;

/**
 * Finds the tasks that crash the workers that start them.
 *
 * <p>A worker that crashes lists no ends, so its runs are counted here. Where a lease ran out, it
 * is not known yet whether the worker crashed; its runs are remembered until it is heard again, or
 * another life answers at its address.
 *
 * <p>{@code CrashDetector} is not thread-safe; the leader's loop owns it.
 */
final class CrashDetector {

    /**
     * How likely it is that a worker crashes of its own accord while a run is new there, for each
     * crash that no task is likely to have caused, and one: where many workers crash, it says
     * little that some of them did under one task.
     */
    private static final double OF_ITSELF = 0.02;

    /**
     * How many times likelier that is for a run that was listed as at work: it has outlived its
     * start, as most that crash their worker do not. Assumed, not learnt.
     */
    private static final double LISTED_FACTOR = 5;

    /** For how long such a crash counts, in milliseconds: some lives of a crashing worker. */
    private static final long RECENT_MILLIS = 30_000;

    /**
     * For how long the runs of a silent worker are remembered, in milliseconds: a crashed worker is
     * back within seconds, or does not come back.
     */
    private static final long REMEMBERED_MILLIS = 60_000;

    /**
     * How many crashes are remembered that no task explains: a task is given up after five, so even
     * ten such tasks at once are told from those beside them.
     */
    private static final int MOST_UNEXPLAINED = 50;

    /** The log. */
    private static final EventLog LOG = EventLog.of(CrashDetector.class);

    /** The runs that were given up with their worker's lease, by the life of the worker. */
    private final Map<WorkerIncarnation, Silence> silent = new LinkedHashMap<>();

    /** The crashes that no task explains yet, the oldest first. */
    private final Deque<Crash> unexplained = new ArrayDeque<>();

    /** The clock. */
    private final MonotonicClock clock;

    /** A crash, and the tasks that ran there. */
    private record Crash(long at, List<TaskEntry> tasks) {

        boolean isUnclear() {
            return tasks.stream().noneMatch(task -> task.getTrial().getCrashes().isLikelyCause());
        }
    }

    /** The runs of a worker that went silent, those that had just begun and the others. */
    private record Silence(
            String address, long since, List<TaskEntry> begun, List<TaskEntry> proven) {

        boolean isAt(String place) {
            return !address.isEmpty() && address.equals(place);
        }
    }

    /**
     * Constructor.
     *
     * @param clock the clock
     */
    CrashDetector(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Takes note that a worker has crashed, before its runs are released.
     *
     * @param worker the worker; one that said that it leaves has not crashed
     * @return the tasks of which something else is believed now
     */
    List<TaskEntry> recordCrash(WorkerEntry worker) {
        Silence earlier = remove(worker.getIncarnation());
        boolean leaves = worker.getDescription() != null && worker.getDescription().draining();
        if (leaves) {
            return List.of();
        }
        Silence all = silence(worker, clock.nowMillis());
        if (earlier != null) {
            all.begun().addAll(earlier.begun());
            all.proven().addAll(earlier.proven());
        }
        return count(worker.getIncarnation(), all);
    }

    /**
     * Takes note that a worker's lease ran out, before its runs are released.
     *
     * @param worker the worker
     */
    void recordLeaseExpiry(WorkerEntry worker) {
        Silence begins = silence(worker, clock.nowMillis());
        if (silent.putIfAbsent(worker.getIncarnation(), begins) == null) {
            begins.begun().forEach(task -> task.getTrial().adjustUnresolvedRuns(1));
        }
    }

    /** Forgets silent workers that have not come back. */
    void removeExpired() {
        long now = clock.nowMillis();
        List.copyOf(silent.keySet()).stream()
                .filter(id -> now - silent.get(id).since() > REMEMBERED_MILLIS)
                .forEach(this::remove);
    }

    /**
     * Takes note that a worker answers: this life has not crashed, and those before it at the same
     * address have.
     *
     * @param worker the worker
     * @return the tasks of which something else is believed now
     */
    List<TaskEntry> recordContact(WorkerEntry worker) {
        if (silent.isEmpty()) {
            return List.of();
        }
        remove(worker.getIncarnation());
        List<WorkerIncarnation> before =
                silent.entrySet().stream()
                        .filter(one -> one.getValue().isAt(worker.getAddress()))
                        .map(Map.Entry::getKey)
                        .toList();
        return before.stream().flatMap(id -> recordEnd(id).stream()).toList();
    }

    /**
     * Takes note that a life is over whose lease ran out before.
     *
     * @param id the life of the worker
     * @return the tasks of which something else is believed now
     */
    List<TaskEntry> recordEnd(WorkerIncarnation id) {
        Silence known = remove(id);
        return known == null ? List.of() : count(id, known);
    }

    // -----------------------------------------------------------------------
    /** How likely it is that a worker crashed for a reason that has nothing to do with the task. */
    private double ofItself(TaskEntry task) {
        long now = clock.nowMillis();
        long others =
                unexplained.stream()
                        .filter(crash -> now - crash.at() < RECENT_MILLIS)
                        .filter(crash -> !crash.tasks().contains(task))
                        .filter(Crash::isUnclear)
                        .count();
        return OF_ITSELF
                * (1 + others)
                * (task.getTrial().wasReportedRunning() ? LISTED_FACTOR : 1);
    }

    private Silence remove(WorkerIncarnation id) {
        Silence known = silent.remove(id);
        if (known != null) {
            known.begun().forEach(task -> task.getTrial().adjustUnresolvedRuns(-1));
        }
        return known;
    }

    private static Silence silence(WorkerEntry worker, long now) {
        List<TaskEntry> begun = new ArrayList<>();
        List<TaskEntry> proven = new ArrayList<>();
        for (TaskEntry task : worker.listTasks()) {
            (task.getTrial().isProven() ? proven : begun).add(task);
        }
        return new Silence(worker.getAddress(), now, begun, proven);
    }

    /** Counts a crash, and divides the suspicion among all that had just begun. */
    private List<TaskEntry> count(WorkerIncarnation worker, Silence lost) {
        // Some of a crash that is told late have shown elsewhere that they crash no worker.
        List<TaskEntry> begun =
                lost.begun().stream().filter(task -> !task.getTrial().isProven()).toList();
        List<TaskEntry> counted = new ArrayList<>(lost.proven());
        counted.forEach(
                task -> task.getTrial().setCrashes(task.getTrial().getCrashes().withLateCrash()));
        double all = 0;
        for (TaskEntry task : begun) {
            all += task.getTrial().getCrashes().getWeight();
        }
        for (TaskEntry task : begun) {
            CrashHistory before = task.getTrial().getCrashes();
            double likelihood = before.getWeight() / (all + ofItself(task));
            task.getTrial().setCrashes(before.withStartupCrash(likelihood));
            counted.add(task);
        }
        if (!counted.isEmpty()) {
            tell(worker, begun.size(), counted);
            remember(counted);
        }
        Set<TaskEntry> changed = new LinkedHashSet<>(counted);
        counted.stream()
                .filter(task -> task.getTrial().getCrashes().isFailedPermanently())
                .forEach(task -> changed.addAll(explain(task)));
        return List.copyOf(changed);
    }

    private void remember(List<TaskEntry> counted) {
        unexplained.addLast(new Crash(clock.nowMillis(), List.copyOf(counted)));
        if (unexplained.size() > MOST_UNEXPLAINED) {
            unexplained.removeFirst();
        }
    }

    /** Clears those of the crashes that a task was in which is given up. */
    private Set<TaskEntry> explain(TaskEntry cause) {
        Set<TaskEntry> cleared = new LinkedHashSet<>();
        for (Crash crash : List.copyOf(unexplained)) {
            if (crash.tasks().contains(cause)) {
                unexplained.remove(crash);
                crash.tasks().stream()
                        .filter(
                                task ->
                                        task != cause
                                                && !task.getTrial()
                                                        .getCrashes()
                                                        .isFailedPermanently())
                        .forEach(
                                task -> {
                                    task.getTrial()
                                            .setCrashes(
                                                    task.getTrial()
                                                            .getCrashes()
                                                            .withoutSuspicion());
                                    cleared.add(task);
                                });
            }
        }
        return cleared;
    }

    private static void tell(WorkerIncarnation worker, int begun, List<TaskEntry> counted) {
        LOG.info("worker-crashed")
                .with("worker", worker)
                .with("begun", begun)
                .with("runs", counted.size())
                .write();
        for (TaskEntry task : counted) {
            CrashHistory crashes = task.getTrial().getCrashes();
            if (crashes.isFailedPermanently() || crashes.requiresIsolation()) {
                LOG.info(
                                crashes.isFailedPermanently()
                                        ? "task-failed-permanently"
                                        : "task-suspected")
                        .with("task", task.getName())
                        .with("crashes", crashes.getStartupCrashes())
                        .with("late", crashes.getLateCrashes())
                        .with("per-mille", crashes.getSuspicionPerMille())
                        .write();
            }
        }
    }
}
