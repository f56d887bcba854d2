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

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.RunId;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;
import org.standlink.store.MessagePackCodec;
import org.standlink.store.StoreLimits;

/**
 * All jobs of a cell, and which of them have changed since they were last persisted.
 *
 * <p>{@code JobRegistry} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class JobRegistry implements ChangeSource {

    private static final EventLog LOG = EventLog.of(JobRegistry.class);

    /** The key prefix of definitions. */
    private static final String DEFINITION_KEY = "d/";

    /** The key prefix of states. */
    private static final String STATE_KEY = "s/";

    /**
     * The key prefix of jobs that are final and released from all workers. They are stored without
     * their tasks: most jobs that a new leader reads are such jobs, and it answers no caller until
     * it has read all.
     */
    private static final String FINISHED_KEY = "f/";

    /** The jobs by identifier, in the order of acceptance. */
    private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();

    /** The jobs whose definition is to be persisted. */
    private final Set<JobId> added = new HashSet<>();

    /** The jobs whose state is to be persisted. */
    private final Set<JobId> changed = new HashSet<>();

    /** The jobs whose records are to be removed. */
    private final Set<JobId> removed = new HashSet<>();

    /** The jobs whose state is in the append in progress. */
    private final List<JobEntry> sent = new ArrayList<>();

    /**
     * The profiles of the jobs; every change of a job's tasks is persisted, which discards them.
     */
    private final JobProfiles profiles = new JobProfiles();

    /** The number of tasks that may be kept. */
    private final TaskBudget budget = new TaskBudget();

    private final StoreLimits limits;

    /** The position of the next job in the order of acceptance. */
    private long nextOrder = 1;

    /** Creates an empty registry for a store that states no limits. */
    JobRegistry() {
        this(StoreLimits.DEFAULT);
    }

    /**
     * Creates an empty registry.
     *
     * @param limits the largest records that the store accepts
     */
    JobRegistry(StoreLimits limits) {
        this.limits = limits;
    }

    /**
     * Gets the policy that decides which jobs can be kept.
     *
     * @return the policy
     */
    JobSizePolicy getSizePolicy() {
        return new JobSizePolicy(limits, budget);
    }

    // -----------------------------------------------------------------------
    /**
     * Restores the jobs from the store.
     *
     * @param records the records, in any order; a later one of the same key counts
     */
    void restore(List<KeyedRecord> records) {
        Map<JobId, byte[]> definitions = new HashMap<>();
        Map<JobId, byte[]> states = new HashMap<>();
        Map<JobId, byte[]> finished = new HashMap<>();
        for (KeyedRecord record : records) {
            collect(record, DEFINITION_KEY, definitions);
            collect(record, STATE_KEY, states);
            collect(record, FINISHED_KEY, finished);
        }
        // One record is decoded at a time: decoded, those of an earlier version may take far more
        // memory than what is kept of them.
        List<JobEntry> entries = new ArrayList<>();
        finished.forEach((id, value) -> entries.add(restoreFinished(id, value)));
        definitions.keySet().removeAll(finished.keySet());
        definitions.forEach(
                (id, value) -> {
                    if (states.containsKey(id)) {
                        entries.add(restore(value, states.get(id)));
                    } else {
                        // The append that contained its state was not accepted.
                        removed.add(id);
                    }
                });
        entries.sort(Comparator.comparingLong(JobEntry::getOrder));
        for (JobEntry entry : entries) {
            jobs.put(entry.getId(), entry);
            nextOrder = Math.max(nextOrder, entry.getOrder() + 1);
        }
    }

    private static void collect(KeyedRecord record, String prefix, Map<JobId, byte[]> found) {
        if (!record.key().startsWith(prefix)) {
            return;
        }
        JobId id = JobId.parse(record.key().substring(prefix.length()));
        if (record.value().length == 0) {
            found.remove(id);
        } else {
            found.put(id, record.value());
        }
    }

    private JobEntry restoreFinished(JobId id, byte[] value) {
        FinishedJobRecord record =
                MessagePackCodec.decode(value, FinishedJobRecord.class, JobRecordFormat.FINISHED);
        return restore(record.toDefinition(id), record.toRecord());
    }

    private JobEntry restore(byte[] definition, byte[] state) {
        return restore(
                MessagePackCodec.decode(definition, JobDefinition.class, JobDefinitionFormat.JOB),
                MessagePackCodec.decode(state, JobRecord.class, JobRecordFormat.STATE));
    }

    private JobEntry restore(JobDefinition definition, JobRecord record) {
        JobEntry entry = new JobEntry(definition, record.order(), budget);
        entry.restore(record);
        return entry;
    }

    // -----------------------------------------------------------------------
    /**
     * Adds a job.
     *
     * @param definition the definition
     * @return the entry of the job
     */
    JobEntry add(JobDefinition definition) {
        JobEntry entry = new JobEntry(definition, nextOrder++, budget);
        jobs.put(entry.getId(), entry);
        added.add(entry.getId());
        changed.add(entry.getId());
        return entry;
    }

    /**
     * Marks a job as changed, so that its state is persisted.
     *
     * @param job the job
     */
    void markChanged(JobEntry job) {
        changed.add(job.getId());
        profiles.invalidate(job.getId());
    }

    /**
     * Removes released jobs that became final long enough ago.
     *
     * @param before the time up to which they became final, on the leader's clock
     */
    void removeExpired(long before) {
        for (JobEntry job : List.copyOf(getJobs())) {
            boolean expired = job.getFinalAt() >= 0 && job.getFinalAt() < before;
            if (expired && job.isFinalAndReleased()) {
                remove(job);
            }
        }
    }

    /**
     * Removes a job and its records.
     *
     * @param job the job
     */
    void remove(JobEntry job) {
        job.release();
        jobs.remove(job.getId());
        profiles.invalidate(job.getId());
        added.remove(job.getId());
        changed.remove(job.getId());
        removed.add(job.getId());
    }

    /**
     * Checks whether a job is known to this process alone, since no append has contained it yet.
     *
     * @param job the job
     * @return true if so
     */
    boolean isUnsent(JobEntry job) {
        return added.contains(job.getId());
    }

    /**
     * Removes a job that no append has contained, without any record of it.
     *
     * @param job the job
     */
    void withdraw(JobEntry job) {
        job.release();
        jobs.remove(job.getId());
        profiles.invalidate(job.getId());
        added.remove(job.getId());
        changed.remove(job.getId());
    }

    /**
     * Finds a job.
     *
     * @param id the identifier
     * @return the job, null if there is none
     */
    JobEntry find(JobId id) {
        return jobs.get(id);
    }

    /**
     * Finds a task.
     *
     * @param name the name
     * @return the task, null if there is none or its repetition is finished
     */
    TaskEntry findTask(TaskName name) {
        JobEntry job = jobs.get(name.job());
        return job == null ? null : job.findTask(name);
    }

    /**
     * Finds the step of a task, also if the task is not kept any more because it is finished.
     *
     * @param name the name of the task
     * @return the step, null if no job has a task of that name
     */
    StepDefinition findStep(TaskName name) {
        JobEntry job = jobs.get(name.job());
        return job == null ? null : job.findStep(name);
    }

    /**
     * Checks whether a run is the last one of its task and is assigned to a worker.
     *
     * @param run the run
     * @return true if so
     */
    boolean isAssigned(RunId run) {
        TaskEntry task = findTask(run.task());
        return task != null && task.getRun().equals(run) && task.getWorker() != null;
    }

    /**
     * Derives the states of the jobs of tasks that were just assigned.
     *
     * @param assigned the tasks
     */
    void updateStates(List<TaskEntry> assigned) {
        assigned.stream()
                .map(task -> find(task.getName().job()))
                .distinct()
                .forEach(job -> job.updateState(Integer.MAX_VALUE));
    }

    /**
     * Gets the profiles of the jobs.
     *
     * @return the profiles, which change with the jobs
     */
    JobProfiles getProfiles() {
        return profiles;
    }

    /**
     * Lists the jobs.
     *
     * @return the jobs, in the order of acceptance
     */
    Collection<JobEntry> getJobs() {
        return jobs.values();
    }

    @Override
    public boolean hasChanges() {
        return !changed.isEmpty() || !removed.isEmpty();
    }

    @Override
    public void markPersisted() {
        sent.forEach(JobEntry::markPersisted);
        sent.clear();
    }

    @Override
    public List<KeyedRecord> takeChanges() {
        List<KeyedRecord> records = new ArrayList<>();
        // A job may have been submitted again since it was removed.
        for (JobId id : removed) {
            removeTaskRecords(id, records);
            records.add(new KeyedRecord(FINISHED_KEY + id, new byte[0]));
        }
        for (JobId id : added) {
            byte[] value =
                    MessagePackCodec.encode(jobs.get(id).getDefinition(), JobDefinitionFormat.JOB);
            records.add(new KeyedRecord(DEFINITION_KEY + id, value));
        }
        for (JobId id : changed) {
            JobEntry job = jobs.get(id);
            JobRecord record = job.toRecord();
            sent.add(job);
            if (job.isFinalAndReleased()) {
                FinishedJobRecord finishedRecord =
                        FinishedJobRecord.of(job.getDefinition().queue(), record);
                records.add(
                        new KeyedRecord(
                                FINISHED_KEY + id,
                                MessagePackCodec.encode(finishedRecord, JobRecordFormat.FINISHED)));
                removeTaskRecords(id, records);
            } else {
                records.add(newStateRecord(id, record));
            }
        }
        added.clear();
        changed.clear();
        removed.clear();
        return records;
    }

    /** Creates the record of a state; one that the store would refuse goes without checkpoints. */
    private KeyedRecord newStateRecord(JobId id, JobRecord record) {
        KeyedRecord state =
                new KeyedRecord(
                        STATE_KEY + id, MessagePackCodec.encode(record, JobRecordFormat.STATE));
        if (StoreLimits.lengthOf(state) <= limits.recordBytes()) {
            return state;
        }
        LOG.warning("checkpoints-dropped").with("job", id).write();
        return new KeyedRecord(
                STATE_KEY + id,
                MessagePackCodec.encode(record.withoutCheckpoints(), JobRecordFormat.STATE));
    }

    private static void removeTaskRecords(JobId id, List<KeyedRecord> records) {
        records.add(new KeyedRecord(DEFINITION_KEY + id, new byte[0]));
        records.add(new KeyedRecord(STATE_KEY + id, new byte[0]));
    }
}
