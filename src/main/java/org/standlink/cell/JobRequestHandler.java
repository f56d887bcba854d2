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

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.standlink.Epoch;
import org.standlink.JobId;
import org.standlink.admission.AdmissionDecision;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.QueueQuery;
import org.standlink.wire.SubmitJob;

/**
 * Handles the requests of callers: submissions, cancellations and queries of jobs.
 *
 * <p>{@code JobRequestHandler} is not thread-safe; it is confined to the leader's event loop.
 */
final class JobRequestHandler {

    /** The reason given for a request that had no effect. */
    private static final String STORE_UNAVAILABLE = "the store does not answer";

    /** The reason given for a job that the backlog would make useless to its caller. */
    private static final String BACKLOG = "the backlog would delay the job too much";

    /** The reason given for a job that no leader can keep. */
    private static final String TOO_LARGE = "the job has too many tasks or steps";

    /** The reason given for a job that does not fit beside the others. */
    private static final String TOO_MANY_TASKS = "the jobs of the cell have too many tasks";

    /** When to retry a job that is too large, in seconds: not before it was changed. */
    private static final long TOO_LARGE_RETRY_SECONDS = 3600;

    /** When to retry a job for which other jobs leave no room, in seconds. */
    private static final long TOO_MANY_TASKS_RETRY_SECONDS = 10;

    /** The reason given for an unknown outcome after a change of leader. */
    private static final String REPLACED = "the leader was replaced while it was storing the job";

    /** The reason given for an unknown outcome of a request that is not to be retried at once. */
    private static final String FAILED = "the leader failed while it handled the request";

    /**
     * How long ago the last accepted append may have been sent for a refusal, in milliseconds. A
     * leader is replaced after at least 350 ms of silence (election.Candidate), and its successor
     * may have accepted the job. Without an outage, appends are at most 250 ms apart.
     */
    private static final long MAX_CONFIRMATION_AGE_MILLIS = 350;

    private static final EventLog LOG = EventLog.of(JobRequestHandler.class);

    private final Epoch epoch;
    private final JobRegistry jobs;
    private final WorkerRegistry workers;
    private final CommitQueue commits;
    private final JobAdmission admission;
    private final JobSizePolicy sizePolicy;
    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** Called with each job that a request has made final. */
    private final Consumer<JobEntry> finalListener;

    /** The submissions without an answer, in order of arrival. */
    private final Set<Submission> openSubmissions = new LinkedHashSet<>();

    /** A submission with its connection, call number and job. */
    private record Submission(MessageChannel connection, long call, JobEntry job) {

        void answer(Message message) {
            connection.answer(call, message);
        }
    }

    /**
     * Creates a handler of job requests.
     *
     * @param commits persists changes
     * @param admission decides whether a new job is accepted
     * @param wallClock the time of day, in milliseconds since 1970
     * @param finalListener called with each job that a request has made final
     */
    JobRequestHandler(
            Epoch epoch,
            JobRegistry jobs,
            WorkerRegistry workers,
            CommitQueue commits,
            JobAdmission admission,
            MonotonicClock clock,
            LongSupplier wallClock,
            Consumer<JobEntry> finalListener) {
        this.epoch = epoch;
        this.jobs = jobs;
        this.workers = workers;
        this.commits = commits;
        this.admission = admission;
        this.sizePolicy = jobs.getSizePolicy();
        this.clock = clock;
        this.wallClock = wallClock;
        this.finalListener = finalListener;
    }

    /**
     * Handles a message of an entry.
     *
     * @param connection the connection that it arrived on
     * @param call the number of the call to answer
     * @param message the message; ignored if it is not a request of a caller
     */
    void handle(MessageChannel connection, long call, Message message) {
        try {
            answer(connection, call, message);
        } catch (RuntimeException | Error defect) {
            // Answered as failed, since a caller that repeated the request at once could end one
            // leader after the other.
            connection.answer(call, JobAnswer.of(JobAnswer.Result.FAILED, FAILED));
            throw defect;
        }
    }

    private void answer(MessageChannel connection, long call, Message message) {
        if (message instanceof SubmitJob submit) {
            submit(connection, call, submit.job());
        } else if (message instanceof CancelJob cancel) {
            cancel(connection, call, cancel);
        } else if (message instanceof JobQuery query) {
            connection.answer(call, answerQuery(query));
        } else if (message instanceof QueueQuery query) {
            connection.answer(call, countWaiting(query.queue()));
        }
    }

    /** Updates what submissions are decided by, and rejects those that cannot be stored. */
    void tick() {
        admission.tick();
        rejectUnsentIfStalled();
    }

    /**
     * Rejects submissions that no append contains yet, if the store is not accepting appends. They
     * are certainly not stored, and their callers learn so in time to retry. A submission that is
     * part of an append waits for the answer to that append, which alone shows the outcome.
     */
    private void rejectUnsentIfStalled() {
        if (!commits.isStalled()) {
            return;
        }
        List<Submission> unsent =
                openSubmissions.stream()
                        .filter(submission -> jobs.isUnsent(submission.job()))
                        // The cancellation of such a job is waiting to be stored, too.
                        .filter(submission -> !submission.job().getState().isFinal())
                        .toList();
        for (Submission submission : unsent) {
            openSubmissions.remove(submission);
            reject(submission.connection(), submission.call(), submission.job().getId());
        }
        unsent.stream().map(Submission::job).distinct().forEach(this::withdraw);
    }

    /**
     * Answers the open submissions, since this leader stores nothing any more: callers whose
     * submission no append contains are redirected to the next leader, for the others the outcome
     * is unknown.
     */
    void close() {
        for (Submission submission : openSubmissions) {
            boolean unsent = jobs.isUnsent(submission.job());
            submission.answer(
                    unsent
                            ? new LeaderNotice(epoch, "")
                            : JobAnswer.of(JobAnswer.Result.UNKNOWN, REPLACED));
        }
        openSubmissions.clear();
        admission.close();
    }

    // -----------------------------------------------------------------------
    private void submit(MessageChannel connection, long call, JobDefinition job) {
        JobEntry existing = jobs.find(job.id());
        if (existing == null && commits.isStalled()) {
            reject(connection, call, job.id());
            return;
        }
        if (existing == null && refuse(connection, call, job)) {
            return;
        }
        LOG.info("received")
                .with("job", job.id())
                .with("again", existing != null)
                .with("store-silent-millis", commits.getMillisSinceAppend())
                .write();
        JobEntry entry = existing == null ? jobs.add(job) : existing;
        if (!entry.isAccepted()) {
            entry.markAccepted(clock.nowMillis(), wallClock.getAsLong());
            jobs.markChanged(entry);
        }
        long start = clock.nowMillis();
        Submission submission = new Submission(connection, call, entry);
        openSubmissions.add(submission);
        commits.afterCommit(
                () -> {
                    if (openSubmissions.remove(submission)) {
                        LOG.info("accepted")
                                .with("job", job.id())
                                .with("queue", job.queue())
                                .with("again", existing != null)
                                .with("kept-after-millis", clock.nowMillis() - start)
                                .write();
                        submission.answer(JobAnswer.ofDone(entry.getPersistedState()));
                    }
                });
    }

    /**
     * Refuses a job that was never accepted, if the backlog would make it useless. Nothing of it is
     * kept, so it may be submitted again. A leader that may have been replaced refuses nothing: the
     * append of the job shows whether another leader has accepted it.
     *
     * @return true if the job was refused
     */
    private boolean refuse(MessageChannel connection, long call, JobDefinition job) {
        if (sizePolicy.isTooLarge(job)) {
            refuse(connection, call, job, TOO_LARGE, TOO_LARGE_RETRY_SECONDS);
            return true;
        }
        if (commits.getMillisSinceAppend() >= MAX_CONFIRMATION_AGE_MILLIS) {
            return false;
        }
        if (!sizePolicy.hasRoomFor(job)) {
            refuse(connection, call, job, TOO_MANY_TASKS, TOO_MANY_TASKS_RETRY_SECONDS);
            return true;
        }
        AdmissionDecision decision = admission.decide(job);
        if (decision.admitted()) {
            return false;
        }
        LOG.info("refused")
                .with("job", job.id())
                .with("queue", job.queue())
                .with("reason", BACKLOG)
                .with("predicted-end-millis", decision.predictedMillis())
                .with("limit-millis", decision.limitMillis())
                .with("retry-after-seconds", decision.retryAfterSeconds())
                .write();
        connection.answer(call, JobAnswer.ofRefused(BACKLOG, decision.retryAfterSeconds()));
        return true;
    }

    private static void refuse(
            MessageChannel connection,
            long call,
            JobDefinition job,
            String reason,
            long retryAfterSeconds) {
        LOG.info("refused")
                .with("job", job.id())
                .with("queue", job.queue())
                .with("reason", reason)
                .with("tasks", job.tasksPerRepetition())
                .with("steps", job.steps().size())
                .write();
        connection.answer(call, JobAnswer.ofRefused(reason, retryAfterSeconds));
    }

    private void reject(MessageChannel connection, long call, JobId job) {
        LOG.info("refused").with("job", job).with("reason", STORE_UNAVAILABLE).write();
        connection.answer(call, JobAnswer.of(JobAnswer.Result.NOT_DONE, STORE_UNAVAILABLE));
    }

    /**
     * Removes a rejected job and its assignments; its orders, which wait for an append, are
     * dropped.
     */
    private void withdraw(JobEntry job) {
        job.allTasks()
                .filter(task -> task.getWorker() != null)
                .forEach(task -> workers.removeTask(task, task.getWorker()));
        jobs.withdraw(job);
    }

    private void cancel(MessageChannel connection, long call, CancelJob cancel) {
        JobEntry existing = jobs.find(cancel.job());
        boolean alreadyFinal = existing != null && existing.getState().isFinal();
        if (!alreadyFinal && commits.isStalled()) {
            // Nothing can be stopped until the store is available again; the caller may retry.
            reject(connection, call, cancel.job());
            return;
        }
        // Callers treat the answer that a job does not exist as a cancellation. Storing the
        // cancellation proves that no other leader has accepted the job, and rules out that a
        // submission still in transit is accepted.
        JobEntry job = existing == null ? jobs.add(withoutTasks(cancel)) : existing;
        if (!job.getDefinition().queue().equals(cancel.queue())) {
            connection.answer(call, JobAnswer.of(JobAnswer.Result.NO_SUCH_JOB, ""));
            return;
        }
        if (!job.getState().isFinal()) {
            job.cancel();
            jobs.markChanged(job);
            LOG.info("cancelled").with("job", job.getId()).write();
            finalListener.accept(job);
        }
        commits.afterCommit(() -> connection.answer(call, stateOf(job.getId(), cancel.queue())));
    }

    /** While the store is unavailable, another leader may know a job that is unknown here. */
    private JobAnswer answerQuery(JobQuery query) {
        return jobs.find(query.job()) == null && commits.isStalled()
                ? JobAnswer.of(JobAnswer.Result.NOT_DONE, STORE_UNAVAILABLE)
                : stateOf(query.job(), query.queue());
    }

    private static JobDefinition withoutTasks(CancelJob cancel) {
        return new JobDefinition(cancel.job(), cancel.queue(), "", List.of(), 0, 0, 0);
    }

    /** Returns the persisted state of a job; a change that is not durable yet is not shown. */
    private JobAnswer stateOf(JobId id, String queue) {
        JobEntry job = jobs.find(id);
        boolean exists =
                job != null && job.isAccepted() && job.getDefinition().queue().equals(queue);
        return exists
                ? JobAnswer.ofDone(job.getPersistedState())
                : JobAnswer.of(JobAnswer.Result.NO_SUCH_JOB, "");
    }

    private JobAnswer countWaiting(String queue) {
        long waiting =
                jobs.getJobs().stream()
                        .filter(job -> job.getDefinition().queue().equals(queue))
                        .filter(job -> job.getPersistedState() == JobState.QUEUED)
                        .count();
        return new JobAnswer(JobAnswer.Result.DONE, null, waiting, "", 0);
    }
}
