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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;

/**
 * All workers of a cell, and which tasks may run on each.
 *
 * <p>{@code WorkerRegistry} is mutable and not thread-safe; the leader's loop owns it.
 */
final class WorkerRegistry implements ChangeSource {

    /** After how many failures of different jobs in a row a worker is set aside. */
    private static final int MOST_FAILURES = 3;

    /** For how long a worker that fails is set aside before it is tried again, in milliseconds. */
    private static final long ASIDE_MILLIS = 3000;

    /**
     * How long a worker that was set aside gets nothing more after the task that tries it, in
     * milliseconds; most tasks that fail do so within it.
     */
    private static final long TRIAL_MILLIS = 1500;

    /** How long ago an agent may have been heard for its workers to be used, in milliseconds. */
    static final long REPORT_TIMEOUT_MILLIS = 1500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerRegistry.class);

    /** The start of the keys of workers' addresses. */
    private static final String ADDRESS_KEY = "w/";

    /** Workers whose address is to be kept, or removed if they are no longer known. */
    private final Set<WorkerIncarnation> changed = new LinkedHashSet<>();

    /** The workers. */
    private final Map<WorkerIncarnation, WorkerEntry> workers = new LinkedHashMap<>();

    /** The halls in which nothing may be started. */
    private final Supplier<EvacuatedHalls> evacuated;

    /**
     * Constructor.
     *
     * @param evacuated the halls in which nothing may be started
     */
    WorkerRegistry(Supplier<EvacuatedHalls> evacuated) {
        this.evacuated = evacuated;
    }

    // -----------------------------------------------------------------------
    /**
     * Takes over what was kept.
     *
     * @param records the records, in any order; those of other parts are passed over
     * @param mayRunUntil until when the runs of these workers may go on
     */
    void restore(List<KeyedRecord> records, long mayRunUntil) {
        for (KeyedRecord record : records) {
            if (record.key().startsWith(ADDRESS_KEY) && record.value().length > 0) {
                WorkerIncarnation life =
                        WorkerIncarnation.parse(record.key().substring(ADDRESS_KEY.length()));
                String address = new String(record.value(), StandardCharsets.US_ASCII);
                getOrAdd(life, mayRunUntil).restoreAddress(address);
            }
        }
    }

    /**
     * Finds the workers that are gone, since another one answers at their address.
     *
     * @param present the life that answers
     * @return the lives at that address that have other ids
     */
    List<WorkerEntry> findReplacedBy(WorkerEntry present) {
        return workers.values().stream()
                .filter(
                        other ->
                                !other.getIncarnation()
                                        .getId()
                                        .equals(present.getIncarnation().getId()))
                .filter(other -> other.getAddress().equals(present.getAddress()))
                .toList();
    }

    /**
     * Finds the other lives of a worker.
     *
     * @param present a life of it
     * @return the others that are known
     */
    List<WorkerEntry> findOtherIncarnations(WorkerIncarnation present) {
        return workers.values().stream()
                .filter(other -> other.getIncarnation().isOtherIncarnationOf(present))
                .toList();
    }

    /**
     * Takes note that a worker's address is to be kept.
     *
     * @param worker the worker
     */
    void persistAddress(WorkerEntry worker) {
        changed.add(worker.getIncarnation());
    }

    @Override
    public boolean hasChanges() {
        return !changed.isEmpty();
    }

    @Override
    public List<KeyedRecord> takeChanges() {
        List<KeyedRecord> records = new ArrayList<>();
        for (WorkerIncarnation life : changed) {
            WorkerEntry worker = workers.get(life);
            String address = worker == null ? "" : worker.getAddress();
            byte[] value = address.getBytes(StandardCharsets.US_ASCII);
            records.add(new KeyedRecord(ADDRESS_KEY + life, value));
        }
        changed.clear();
        return records;
    }

    @Override
    public void markPersisted() {
        // Nothing waits for the address of a worker.
    }

    // -----------------------------------------------------------------------
    /**
     * Finds or adds a worker.
     *
     * @param id the life of the worker
     * @param mayRunUntil until when its runs may go on, if it is new
     * @return the worker
     */
    WorkerEntry getOrAdd(WorkerIncarnation id, long mayRunUntil) {
        return workers.computeIfAbsent(id, key -> new WorkerEntry(key, mayRunUntil));
    }

    /**
     * Finds a worker.
     *
     * @param id the life of the worker
     * @return the worker, null if it is not known
     */
    WorkerEntry find(WorkerIncarnation id) {
        return workers.get(id);
    }

    /**
     * Takes note that a task's last run may be on its worker.
     *
     * @param task the task, which has a worker
     * @param mayRunUntil until when the worker's runs may go on, if it is new
     */
    void addTask(TaskEntry task, long mayRunUntil) {
        getOrAdd(task.getWorker(), mayRunUntil).addTask(task);
    }

    /**
     * Takes note that a task's last run is over.
     *
     * @param task the task
     * @param id where it was
     */
    void removeTask(TaskEntry task, WorkerIncarnation id) {
        WorkerEntry worker = workers.get(id);
        if (worker != null) {
            worker.removeTask(task);
        }
    }

    /**
     * Takes note of how a run ended, and sets a worker aside that fails too often.
     *
     * @param worker the worker
     * @param well whether the run ended well
     * @param now the time on the leader's clock
     */
    void recordOutcome(WorkerEntry worker, boolean well, long now) {
        worker.getHealth().recordOutcome(well);
        if (worker.getHealth().getConsecutiveFailures() >= MOST_FAILURES) {
            worker.getHealth().avoidUntil(now + ASIDE_MILLIS);
            LOG.info("worker-set-aside")
                    .with("worker", worker.getIncarnation())
                    .with("failures", worker.getHealth().getConsecutiveFailures())
                    .write();
        }
    }

    /**
     * Takes note that a worker was given a run; one that failed too often gets only this one for a
     * while.
     *
     * @param worker the worker
     * @param now the time on the leader's clock
     * @return true if it may be given more
     */
    boolean recordAssignment(WorkerEntry worker, long now) {
        boolean trusted = worker.getHealth().getConsecutiveFailures() < MOST_FAILURES;
        if (!trusted) {
            worker.getHealth().avoidUntil(now + TRIAL_MILLIS);
        }
        return trusted;
    }

    /**
     * Lists the workers that may be given new runs.
     *
     * @param service the service whose workers run the queue's tasks
     * @param now the time on the leader's clock
     * @return the workers
     */
    List<WorkerEntry> findUsable(String service, long now) {
        List<WorkerEntry> usable = new ArrayList<>();
        EvacuatedHalls closed = evacuated.get();
        for (WorkerEntry worker : workers.values()) {
            boolean fit =
                    worker.getDescription() != null
                            && worker.getDescription().service().equals(service)
                            && !worker.getDescription().draining()
                            && !closed.contains(worker.getDescription().hall())
                            && worker.isReachable()
                            && !worker.getSyncedGeneration().equals(LeaseGeneration.NONE)
                            // What is given under a lease that is over would only wait for the
                            // next.
                            && now < worker.getLeaseExpiryMillis()
                            && now - worker.getLastReportMillis() < REPORT_TIMEOUT_MILLIS
                            && now >= worker.getHealth().getAvoidUntil();
            if (fit) {
                usable.add(worker);
            }
        }
        return usable;
    }

    /**
     * Gets the halls in which nothing may be started.
     *
     * @return the halls
     */
    EvacuatedHalls getEvacuatedHalls() {
        return evacuated.get();
    }

    /**
     * Lists the workers.
     *
     * @return the workers
     */
    Collection<WorkerEntry> getWorkers() {
        return workers.values();
    }

    /**
     * Removes a worker whose runs are all over.
     *
     * @param worker the worker
     */
    void remove(WorkerEntry worker) {
        workers.remove(worker.getIncarnation());
        changed.add(worker.getIncarnation());
    }
}
