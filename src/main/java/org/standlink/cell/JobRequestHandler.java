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
 * Answers what callers ask of the leader.
 *
 * <p>{@code JobRequestHandler} is not thread-safe; the leader's loop owns it.
 */
final class JobRequestHandler {

    /** Why nothing was done, in answers and in the log. */
    private static final String STORE_SILENT = "the store does not answer";

    /** Why it is not known what was done. */
    private static final String REPLACED = "the leader was replaced while it kept the job";

    /** Why it is not known what was done, and not to be tried again at once. */
    private static final String FAILED = "the leader failed while it handled the request";

    /** The log. */
    private static final EventLog LOG = EventLog.of(JobRequestHandler.class);

    /** The epoch of the leader. */
    private final Epoch epoch;

    /** The jobs. */
    private final JobRegistry board;

    /** The workers. */
    private final WorkerRegistry workers;

    /** Keeps changes. */
    private final CommitQueue commits;

    /** The clock. */
    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** Is told of jobs that have become final. */
    private final Consumer<JobEntry> whenFinal;

    /** The submissions that have no answer yet, in the order in which they came. */
    private final Set<Submission> open = new LinkedHashSet<>();

    /** A submission, where it came from, and its job. */
    private record Submission(MessageChannel connection, long call, JobEntry job) {

        void answer(Message message) {
            connection.answer(call, message);
        }
    }

    /**
     * Constructor.
     *
     * @param epoch the epoch of the leader
     * @param board the jobs
     * @param workers the workers
     * @param commits keeps changes
     * @param clock the clock
     * @param wallClock the time of day, in milliseconds since 1970
     * @param whenFinal is told of jobs that have become final
     */
    JobRequestHandler(
            Epoch epoch,
            JobRegistry board,
            WorkerRegistry workers,
            CommitQueue commits,
            MonotonicClock clock,
            LongSupplier wallClock,
            Consumer<JobEntry> whenFinal) {
        this.epoch = epoch;
        this.board = board;
        this.workers = workers;
        this.commits = commits;
        this.clock = clock;
        this.wallClock = wallClock;
        this.whenFinal = whenFinal;
    }

    /**
     * Handles a message of an entry.
     *
     * @param connection where it came from
     * @param call the number to answer under
     * @param message the message; another one than callers cause is passed over
     */
    void handle(MessageChannel connection, long call, Message message) {
        try {
            answer(connection, call, message);
        } catch (RuntimeException | Error defect) {
            // Whoever asked another leader the same at once might end one after the other.
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
            connection.answer(call, lookUp(query));
        } else if (message instanceof QueueQuery query) {
            connection.answer(call, waitingIn(query.queue()));
        }
    }

    /**
     * Refuses what no append has carried, if the store takes none at the moment: it surely was not
     * kept, and its caller learns so while there is time to come again. What an append has carried
     * waits for its answer, which alone tells.
     */
    void rejectUnsentIfStalled() {
        if (!commits.isStalled()) {
            return;
        }
        List<Submission> unsent =
                open.stream()
                        .filter(one -> board.isUnsent(one.job()))
                        // A cancel of it waits to be kept, too.
                        .filter(one -> !one.job().getState().isFinal())
                        .toList();
        for (Submission one : unsent) {
            open.remove(one);
            refuse(one.connection(), one.call(), one.job().getId());
        }
        unsent.stream().map(Submission::job).distinct().forEach(this::withdraw);
    }

    /** Sends callers on to the next leader, since this one keeps nothing any more. */
    void close() {
        for (Submission one : open) {
            boolean unsent = board.isUnsent(one.job());
            one.answer(
                    unsent
                            ? new LeaderNotice(epoch, "")
                            : JobAnswer.of(JobAnswer.Result.UNKNOWN, REPLACED));
        }
        open.clear();
    }

    // -----------------------------------------------------------------------
    private void submit(MessageChannel connection, long call, JobDefinition job) {
        JobEntry known = board.find(job.id());
        if (known == null && commits.isStalled()) {
            refuse(connection, call, job.id());
            return;
        }
        LOG.info("received")
                .with("job", job.id())
                .with("again", known != null)
                .with("store-silent-millis", commits.getMillisSinceAppend())
                .write();
        JobEntry entry = known == null ? board.add(job) : known;
        if (!entry.isAccepted()) {
            entry.markAccepted(clock.nowMillis(), wallClock.getAsLong());
            board.markChanged(entry);
        }
        long start = clock.nowMillis();
        Submission submission = new Submission(connection, call, entry);
        open.add(submission);
        commits.afterCommit(
                () -> {
                    if (open.remove(submission)) {
                        LOG.info("accepted")
                                .with("job", job.id())
                                .with("queue", job.queue())
                                .with("again", known != null)
                                .with("kept-after-millis", clock.nowMillis() - start)
                                .write();
                        submission.answer(JobAnswer.ofDone(entry.getPersistedState()));
                    }
                });
    }

    private void refuse(MessageChannel connection, long call, JobId job) {
        LOG.info("refused").with("job", job).with("reason", STORE_SILENT).write();
        connection.answer(call, JobAnswer.of(JobAnswer.Result.NOT_DONE, STORE_SILENT));
    }

    /** Takes back what was decided for a job that was refused; its orders wait and are dropped. */
    private void withdraw(JobEntry job) {
        job.allTasks()
                .filter(task -> task.getWorker() != null)
                .forEach(task -> workers.removeTask(task, task.getWorker()));
        board.withdraw(job);
    }

    private void cancel(MessageChannel connection, long call, CancelJob cancel) {
        JobEntry known = board.find(cancel.job());
        boolean cancelled = known != null && known.getState().isFinal();
        if (!cancelled && commits.isStalled()) {
            // Nothing could be stopped before the store is back; the caller may repeat it.
            refuse(connection, call, cancel.job());
            return;
        }
        // Callers take the denial of a job for its cancel. Keeping the cancel proves that no other
        // leader has taken the job, and bars a submission that is still under way.
        JobEntry job = known == null ? board.add(withoutTasks(cancel)) : known;
        if (!job.getDefinition().queue().equals(cancel.queue())) {
            connection.answer(call, JobAnswer.of(JobAnswer.Result.NO_SUCH_JOB, ""));
            return;
        }
        if (!job.getState().isFinal()) {
            job.cancel();
            board.markChanged(job);
            LOG.info("cancelled").with("job", job.getId()).write();
            whenFinal.accept(job);
        }
        commits.afterCommit(() -> connection.answer(call, stateOf(job.getId(), cancel.queue())));
    }

    /** Another leader may know a job that this one does not know, while the store is silent. */
    private JobAnswer lookUp(JobQuery query) {
        return board.find(query.job()) == null && commits.isStalled()
                ? JobAnswer.of(JobAnswer.Result.NOT_DONE, STORE_SILENT)
                : stateOf(query.job(), query.queue());
    }

    private static JobDefinition withoutTasks(CancelJob cancel) {
        return new JobDefinition(cancel.job(), cancel.queue(), "", List.of(), 0, 0, 0);
    }

    /** Tells a job's state; one that is not kept yet counts as it was before. */
    private JobAnswer stateOf(JobId id, String queue) {
        JobEntry job = board.find(id);
        boolean there =
                job != null && job.isAccepted() && job.getDefinition().queue().equals(queue);
        return there
                ? JobAnswer.ofDone(job.getPersistedState())
                : JobAnswer.of(JobAnswer.Result.NO_SUCH_JOB, "");
    }

    private JobAnswer waitingIn(String queue) {
        long waiting =
                board.getJobs().stream()
                        .filter(job -> job.getDefinition().queue().equals(queue))
                        .filter(job -> job.getPersistedState() == JobState.QUEUED)
                        .count();
        return new JobAnswer(JobAnswer.Result.DONE, null, waiting, "");
    }
}
