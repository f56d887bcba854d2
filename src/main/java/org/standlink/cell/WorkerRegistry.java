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
 * All workers of a cell, with the health rules that decide whether they get new runs.
 *
 * <p>{@code WorkerRegistry} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class WorkerRegistry implements ChangeSource {

    /** The age of an agent's last report from which its workers are not used, in milliseconds. */
    static final long REPORT_TIMEOUT_MILLIS = 1500;

    private static final EventLog LOG = EventLog.of(WorkerRegistry.class);

    /** The prefix of the keys of workers' addresses in the store. */
    private static final String ADDRESS_KEY_PREFIX = "w/";

    /**
     * The incarnations whose address is to be persisted, or removed if they are no longer known.
     */
    private final Set<WorkerIncarnation> changedAddresses = new LinkedHashSet<>();

    private final Map<WorkerIncarnation, WorkerEntry> workers = new LinkedHashMap<>();

    private final InDoubtRuns inDoubtRuns = new InDoubtRuns();

    private final RunOutcomes outcomes = new RunOutcomes();

    /** The halls in which nothing may be started. */
    private final Supplier<EvacuatedHalls> evacuatedHalls;

    WorkerRegistry(Supplier<EvacuatedHalls> evacuatedHalls) {
        this.evacuatedHalls = evacuatedHalls;
    }

    // -----------------------------------------------------------------------
    /**
     * Restores the persisted addresses.
     *
     * @param records the records, in any order; those with other keys are ignored
     * @param leaseExpiryMillis when the leases of these workers expire, on the leader's clock
     */
    void restore(List<KeyedRecord> records, long leaseExpiryMillis) {
        for (KeyedRecord record : records) {
            if (record.key().startsWith(ADDRESS_KEY_PREFIX) && record.value().length > 0) {
                WorkerIncarnation incarnation =
                        WorkerIncarnation.parse(
                                record.key().substring(ADDRESS_KEY_PREFIX.length()));
                String address = new String(record.value(), StandardCharsets.US_ASCII);
                getOrAdd(incarnation, leaseExpiryMillis).restoreAddress(address);
            }
        }
    }

    /**
     * Finds the workers that have been replaced, because another worker responds at their address.
     *
     * @param current the incarnation that responds
     * @return the incarnations with the same address and a different id
     */
    List<WorkerEntry> findReplacedBy(WorkerEntry current) {
        return workers.values().stream()
                .filter(
                        other ->
                                !other.getIncarnation()
                                        .getId()
                                        .equals(current.getIncarnation().getId()))
                .filter(other -> other.getAddress().equals(current.getAddress()))
                .toList();
    }

    /**
     * Finds the other incarnations of a worker.
     *
     * @param current an incarnation of the worker
     * @return the other known incarnations
     */
    List<WorkerEntry> findOtherIncarnations(WorkerIncarnation current) {
        return workers.values().stream()
                .filter(other -> other.getIncarnation().isOtherIncarnationOf(current))
                .toList();
    }

    /**
     * Marks the address of a worker to be persisted.
     *
     * @param worker the worker
     */
    void persistAddress(WorkerEntry worker) {
        changedAddresses.add(worker.getIncarnation());
    }

    @Override
    public boolean hasChanges() {
        return !changedAddresses.isEmpty();
    }

    @Override
    public List<KeyedRecord> takeChanges() {
        List<KeyedRecord> records = new ArrayList<>();
        for (WorkerIncarnation incarnation : changedAddresses) {
            WorkerEntry worker = workers.get(incarnation);
            String address = worker == null ? "" : worker.getAddress();
            byte[] value = address.getBytes(StandardCharsets.US_ASCII);
            records.add(new KeyedRecord(ADDRESS_KEY_PREFIX + incarnation, value));
        }
        changedAddresses.clear();
        return records;
    }

    @Override
    public void markPersisted() {
        // Nothing waits for the address of a worker to be durable.
    }

    // -----------------------------------------------------------------------
    /**
     * Finds or adds a worker.
     *
     * @param id the incarnation of the worker
     * @param leaseExpiryMillis when its lease expires if it is added, on the leader's clock
     * @return the worker
     */
    WorkerEntry getOrAdd(WorkerIncarnation id, long leaseExpiryMillis) {
        return workers.computeIfAbsent(id, key -> new WorkerEntry(key, leaseExpiryMillis));
    }

    /**
     * Finds a worker.
     *
     * @param id the incarnation of the worker
     * @return the worker, null if it is not known
     */
    WorkerEntry find(WorkerIncarnation id) {
        return workers.get(id);
    }

    /**
     * Records that a task's last run may be on its worker.
     *
     * @param task the task, which must have a worker
     * @param leaseExpiryMillis when the worker's lease expires if it is added, on the leader's
     *     clock
     */
    void addTask(TaskEntry task, long leaseExpiryMillis) {
        getOrAdd(task.getWorker(), leaseExpiryMillis).addTask(task);
    }

    /**
     * Records that the last runs of a job's tasks may be on their workers.
     *
     * @param job the job
     * @param leaseExpiryMillis when the leases of workers that are added expire, on the leader's
     *     clock
     */
    void addTasks(JobEntry job, long leaseExpiryMillis) {
        job.allTasks()
                .filter(task -> task.getWorker() != null)
                .forEach(task -> addTask(task, leaseExpiryMillis));
    }

    /**
     * Records that a task's last run is not on a worker any more.
     *
     * @param task the task
     * @param id the incarnation of the worker
     */
    void removeTask(TaskEntry task, WorkerIncarnation id) {
        WorkerEntry worker = workers.get(id);
        if (worker != null) {
            worker.removeTask(task);
        }
    }

    /**
     * Finds the workers to which new runs may be assigned.
     *
     * @param service the service whose workers run the queue's tasks
     * @param now the time on the leader's clock
     * @return the workers
     */
    List<WorkerEntry> findUsable(String service, long now) {
        List<WorkerEntry> usable = new ArrayList<>();
        EvacuatedHalls evacuated = evacuatedHalls.get();
        for (WorkerEntry worker : workers.values()) {
            boolean eligible =
                    worker.getDescription() != null
                            && worker.getDescription().service().equals(service)
                            && !worker.getDescription().draining()
                            && !evacuated.contains(worker.getDescription().hall())
                            && worker.isReachable()
                            && !worker.getSyncedGeneration().equals(LeaseGeneration.NONE)
                            // A run assigned under an expired lease would only wait for the
                            // next lease.
                            && now < worker.getLeaseExpiryMillis()
                            && now - worker.getLastReportMillis() < REPORT_TIMEOUT_MILLIS
                            && now >= worker.getHealth().getAvoidUntil();
            if (eligible) {
                usable.add(worker);
            }
        }
        return outcomes.withoutSuspended(usable, now);
    }

    /**
     * Gets the outcomes of the runs, which decide whether a worker is suspended.
     *
     * @return the outcomes, which change with the reports
     */
    RunOutcomes getOutcomes() {
        return outcomes;
    }

    /**
     * Gets the halls in which nothing may be started.
     *
     * @return the halls
     */
    EvacuatedHalls getEvacuatedHalls() {
        return evacuatedHalls.get();
    }

    /**
     * Gets the runs that later incarnations of workers may still start.
     *
     * @return the runs, which change with the reports
     */
    InDoubtRuns getInDoubtRuns() {
        return inDoubtRuns;
    }

    Collection<WorkerEntry> getWorkers() {
        return workers.values();
    }

    /**
     * Removes a worker if its runs have all ended.
     *
     * @param worker the worker
     */
    void removeIfReleased(WorkerEntry worker) {
        if (worker.listTasks().isEmpty()) {
            remove(worker);
        }
    }

    /**
     * Removes a worker whose runs have all ended.
     *
     * @param worker the worker
     */
    void remove(WorkerEntry worker) {
        workers.remove(worker.getIncarnation());
        changedAddresses.add(worker.getIncarnation());
    }
}
