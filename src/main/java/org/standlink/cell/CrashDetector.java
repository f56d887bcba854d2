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
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;

/**
 * Identifies the tasks that crash the workers that start them.
 *
 * <p>A worker that crashes reports no ends of runs, so its runs are counted here. If its lease
 * expired, it is not known yet whether the worker crashed; its runs are remembered until it reports
 * again or another incarnation answers at its address.
 *
 * <p>{@code CrashDetector} is not thread-safe; it is confined to the leader's event loop.
 */
final class CrashDetector {

    /**
     * The likelihood that a worker crashes of itself while a run is new there. It is multiplied by
     * one plus the number of recent crashes that no task is likely to have caused: where many
     * workers crash, it proves little that some of them crashed under one task.
     */
    private static final double SPONTANEOUS_CRASH_LIKELIHOOD = 0.02;

    /**
     * How many times more likely that is for a run that was reported as running: it has survived
     * its start, as most runs that crash their worker do not.
     */
    private static final double REPORTED_RUNNING_FACTOR = 5;

    /** How long such a crash counts, in milliseconds: several incarnations of a crashing worker. */
    private static final long RECENT_MILLIS = 30_000;

    /**
     * How long the runs of an unresponsive worker are remembered, in milliseconds: a crashed worker
     * is back within seconds, or not at all.
     */
    private static final long RETENTION_MILLIS = 60_000;

    /**
     * The maximum number of remembered crashes that no task explains. A task fails permanently
     * after five crashes, so that even ten such tasks at once are distinguished from the tasks
     * beside them.
     */
    private static final int MAX_UNEXPLAINED = 50;

    private static final EventLog LOG = EventLog.of(CrashDetector.class);

    /** The runs that were abandoned when their worker's lease expired, by worker incarnation. */
    private final Map<WorkerIncarnation, WorkerRuns> expiredLeases = new LinkedHashMap<>();

    /** The crashes that no task explains yet, the oldest first. */
    private final Deque<Crash> unexplained = new ArrayDeque<>();

    /**
     * When workers crashed that had no run which may have caused it, the oldest first. They are
     * kept apart, so that they displace none of the crashes above.
     */
    private final Deque<Long> crashesWithoutRuns = new ArrayDeque<>();

    private final MonotonicClock clock;

    /** A crash, and the tasks that ran on the worker. */
    private record Crash(long at, List<TaskEntry> tasks) {

        boolean hasNoLikelyCause() {
            return tasks.stream()
                    .noneMatch(task -> task.getTrial().getCrashHistory().isLikelyCause());
        }
    }

    /**
     * The runs of a worker that crashed or whose lease expired: those that had just started, and
     * those whose start was proven.
     */
    private record WorkerRuns(
            String address, long since, List<TaskEntry> begun, List<TaskEntry> proven) {

        boolean isEmpty() {
            return begun.isEmpty() && proven.isEmpty();
        }

        boolean isAt(String otherAddress) {
            return !address.isEmpty() && address.equals(otherAddress);
        }

        /** Returns these runs and those that were lost later. */
        WorkerRuns plus(WorkerRuns later) {
            return new WorkerRuns(
                    address, since, concat(begun, later.begun), concat(proven, later.proven));
        }

        private static List<TaskEntry> concat(List<TaskEntry> first, List<TaskEntry> second) {
            return Stream.concat(first.stream(), second.stream()).toList();
        }
    }

    CrashDetector(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that a worker has crashed; called before its runs are released.
     *
     * @param worker the worker; one that announced that it leaves has not crashed
     * @return the tasks whose crash history has changed
     */
    List<TaskEntry> recordCrash(WorkerEntry worker) {
        if (worker.isEnded()) {
            // Its crash was counted when its end became known.
            return List.of();
        }
        WorkerRuns earlier = remove(worker.getIncarnation());
        boolean draining = worker.getDescription() != null && worker.getDescription().draining();
        if (draining) {
            return List.of();
        }
        WorkerRuns last = collectRuns(worker, worker.listTasks(), clock.nowMillis());
        WorkerRuns lost = earlier == null ? last : earlier.plus(last);
        if (worker.getDescription() == null && lost.isEmpty()) {
            // It is known from an earlier leader only, and may have crashed long ago.
            return List.of();
        }
        return countCrash(worker.getIncarnation(), lost);
    }

    /**
     * Records that the lease of a worker has expired; called before runs are released.
     *
     * @param worker the worker
     * @param abandoned the tasks whose runs will be released
     */
    void recordLeaseExpiry(WorkerEntry worker, Collection<TaskEntry> abandoned) {
        WorkerRuns expired = collectRuns(worker, abandoned, clock.nowMillis());
        expired.begun().forEach(task -> task.getTrial().adjustUnresolvedRuns(1));
        expiredLeases.merge(worker.getIncarnation(), expired, WorkerRuns::plus);
    }

    /** Removes unresponsive workers that have not come back in time. */
    void removeExpired() {
        long now = clock.nowMillis();
        List.copyOf(expiredLeases.keySet()).stream()
                .filter(id -> now - expiredLeases.get(id).since() > RETENTION_MILLIS)
                .forEach(this::remove);
    }

    /**
     * Records that a worker answers: this incarnation has not crashed, and the earlier ones at the
     * same address have.
     *
     * @param worker the worker
     * @return the tasks whose crash history has changed
     */
    List<TaskEntry> recordContact(WorkerEntry worker) {
        if (expiredLeases.isEmpty()) {
            return List.of();
        }
        remove(worker.getIncarnation());
        List<WorkerIncarnation> ended =
                expiredLeases.entrySet().stream()
                        .filter(entry -> entry.getValue().isAt(worker.getAddress()))
                        .map(Map.Entry::getKey)
                        .toList();
        return ended.stream().flatMap(id -> recordEnd(id).stream()).toList();
    }

    /**
     * Records that an incarnation whose lease expired before has ended.
     *
     * @param id the incarnation of the worker
     * @return the tasks whose crash history has changed
     */
    List<TaskEntry> recordEnd(WorkerIncarnation id) {
        WorkerRuns lease = remove(id);
        return lease == null ? List.of() : countCrash(id, lease);
    }

    // -----------------------------------------------------------------------
    /** Returns the likelihood that a worker crashed for a reason that is unrelated to the task. */
    private double spontaneousCrashLikelihood(TaskEntry task) {
        long now = clock.nowMillis();
        long others =
                unexplained.stream()
                        .filter(crash -> now - crash.at() < RECENT_MILLIS)
                        .filter(crash -> !crash.tasks().contains(task))
                        .filter(Crash::hasNoLikelyCause)
                        .count();
        long withoutRuns =
                crashesWithoutRuns.stream().filter(at -> now - at < RECENT_MILLIS).count();
        return SPONTANEOUS_CRASH_LIKELIHOOD
                * (1 + others + withoutRuns)
                * (task.getTrial().wasReportedRunning() ? REPORTED_RUNNING_FACTOR : 1);
    }

    private WorkerRuns remove(WorkerIncarnation id) {
        WorkerRuns lease = expiredLeases.remove(id);
        if (lease != null) {
            lease.begun().forEach(task -> task.getTrial().adjustUnresolvedRuns(-1));
        }
        return lease;
    }

    private static WorkerRuns collectRuns(
            WorkerEntry worker, Collection<TaskEntry> tasks, long now) {
        List<TaskEntry> started = new ArrayList<>();
        List<TaskEntry> proven = new ArrayList<>();
        for (TaskEntry task : tasks) {
            (task.getTrial().isProven() ? proven : started).add(task);
        }
        return new WorkerRuns(worker.getAddress(), now, started, proven);
    }

    /** Counts a crash, and divides the suspicion among all tasks that had just started. */
    private List<TaskEntry> countCrash(WorkerIncarnation worker, WorkerRuns lost) {
        // If the crash is reported late, some tasks have proven their start elsewhere by then.
        List<TaskEntry> started =
                lost.begun().stream().filter(task -> !task.getTrial().isProven()).toList();
        List<TaskEntry> counted = new ArrayList<>(lost.proven());
        counted.forEach(
                task ->
                        task.getTrial()
                                .setCrashHistory(
                                        task.getTrial().getCrashHistory().withLateCrash()));
        double totalWeight = 0;
        for (TaskEntry task : started) {
            totalWeight += task.getTrial().getCrashHistory().getWeight();
        }
        for (TaskEntry task : started) {
            CrashHistory history = task.getTrial().getCrashHistory();
            double likelihood =
                    history.getWeight() / (totalWeight + spontaneousCrashLikelihood(task));
            task.getTrial().setCrashHistory(history.withStartupCrash(likelihood));
            counted.add(task);
        }
        logCrash(worker, started.size(), counted);
        if (counted.isEmpty()) {
            addLimited(crashesWithoutRuns, clock.nowMillis());
        } else {
            addLimited(unexplained, new Crash(clock.nowMillis(), List.copyOf(counted)));
        }
        Set<TaskEntry> changed = new LinkedHashSet<>(counted);
        counted.stream()
                .filter(task -> task.getTrial().getCrashHistory().isFailedPermanently())
                .forEach(task -> changed.addAll(clearSuspicion(task)));
        return List.copyOf(changed);
    }

    private static <T> void addLimited(Deque<T> crashes, T crash) {
        crashes.addLast(crash);
        if (crashes.size() > MAX_UNEXPLAINED) {
            crashes.removeFirst();
        }
    }

    /**
     * Clears the suspicion of the tasks that shared a crash with a task that has failed
     * permanently.
     */
    private Set<TaskEntry> clearSuspicion(TaskEntry cause) {
        Set<TaskEntry> cleared = new LinkedHashSet<>();
        for (Crash crash : List.copyOf(unexplained)) {
            if (crash.tasks().contains(cause)) {
                unexplained.remove(crash);
                crash.tasks().stream()
                        .filter(
                                task ->
                                        task != cause
                                                && !task.getTrial()
                                                        .getCrashHistory()
                                                        .isFailedPermanently())
                        .forEach(
                                task -> {
                                    task.getTrial()
                                            .setCrashHistory(
                                                    task.getTrial()
                                                            .getCrashHistory()
                                                            .withoutSuspicion());
                                    cleared.add(task);
                                });
            }
        }
        return cleared;
    }

    private static void logCrash(WorkerIncarnation worker, int started, List<TaskEntry> counted) {
        LOG.info("worker-crashed")
                .with("worker", worker)
                .with("begun", started)
                .with("runs", counted.size())
                .write();
        for (TaskEntry task : counted) {
            CrashHistory crashes = task.getTrial().getCrashHistory();
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
