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

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.admission.AdmissionListener;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.lease.MonotonicClock;
import org.standlink.ordering.OrderMetrics;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.process.WorkFailures;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/**
 * Leads a cell for one epoch: accepts jobs, assigns their tasks and grants leases to agents.
 *
 * <p>It first raises the epoch of the writer in the store, so that appends of older leaders are
 * rejected, and then reads the state, which is therefore complete.
 *
 * <p>{@code JobCellLeader} is thread-safe: every call is executed on the event loop.
 */
public final class JobCellLeader implements AutoCloseable {

    /** The interval between checks for expired leases and due jobs, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /**
     * How long messages are collected before the next scheduling decision, in milliseconds; an
     * append takes twice as long.
     */
    private static final long BATCH_MILLIS = 4;

    /** The pause before a failed take-over is retried, in milliseconds. */
    private static final long TAKE_OVER_RETRY_MILLIS = 150;

    private static final EventLog LOG = EventLog.of(JobCellLeader.class);

    private final Epoch epoch;
    private final KeyedStore store;
    private final CellTimes times;
    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** The configuration by which the jobs are run. */
    private final RetainedQueues queues;

    private final AttemptLimits attemptLimits;
    private final LeaderLoop loop;
    private final LeaderEndListener endListener;
    private final JobRegistry jobs;
    private final WorkerRegistry workers;
    private final InterferencePersistence interferencePersistence;
    private final Scheduler scheduler;
    private final CommitQueue commits;
    private final OrderDispatcher orders;
    private final MovePlanner movePlanner;
    private final AgentRegistry agents;
    private final LeaseGranter leases;
    private final AgentReportHandler reports;
    private final JobRequestHandler requests;

    /** Whether the state has been read. */
    private boolean loaded;

    /** Whether another process leads, or this leader was stopped. */
    private volatile boolean closed;

    /** Whether a scheduling decision is due within {@link #BATCH_MILLIS}. */
    private boolean decisionScheduled;

    private ScheduledFuture<?> tickTimer;

    /**
     * Creates a leader of the job cell for an epoch.
     *
     * @param writer the epoch and the process of the leader
     * @param store the store
     * @param times the durations agreed with the agents
     * @param contention the decisions for contended workers
     * @param metrics receives the figures of the predictions
     * @param clock the clock
     * @param wallClock the time of day, in milliseconds since 1970
     * @param configuration the configuration in force
     * @param evacuated the halls that this process knows to be evacuated
     * @param loop the executor of the event loop, of one thread
     * @param admissions is notified of the backlog and of refused submissions
     * @param endListener is notified when this leader has ended
     */
    public JobCellLeader(
            WriterId writer,
            KeyedStore store,
            CellTimes times,
            ContentionOptions contention,
            OrderMetrics metrics,
            MonotonicClock clock,
            LongSupplier wallClock,
            Supplier<Configuration> configuration,
            Supplier<EvacuatedHalls> evacuated,
            ScheduledExecutorService loop,
            AdmissionListener admissions,
            LeaderEndListener endListener) {
        this.epoch = writer.epoch();
        this.store = store;
        this.jobs = new JobRegistry(store.getLimits());
        this.times = times;
        this.clock = clock;
        this.wallClock = wallClock;
        this.queues = new RetainedQueues(configuration);
        this.attemptLimits = new AttemptLimits(queues);
        this.workers = new WorkerRegistry(evacuated);
        this.loop = new LeaderLoop(loop, this::fail);
        this.endListener = endListener;
        InterferenceTable interference = new InterferenceTable();
        Placement placement = new LeastRequestedPlacement(interference);
        this.scheduler = new Scheduler(jobs, workers, placement, contention.newOrders(metrics));
        this.interferencePersistence = new InterferencePersistence(interference, clock);
        this.commits =
                new CommitQueue(
                        store,
                        writer,
                        List.of(queues, jobs, workers, interferencePersistence),
                        new LeaderAuthority(clock, wallClock),
                        this.loop,
                        loop,
                        this::depose);
        this.orders = new OrderDispatcher(epoch, jobs, workers, commits);
        MoveCostEstimator moveCost = new MoveCostEstimator();
        this.movePlanner = new MovePlanner(workers, placement, orders, commits, moveCost);
        BacklogReader backlog = new BacklogReader(jobs, workers, queues, wallClock);
        JobAdmission admission = new JobAdmission(contention, backlog, clock, admissions);
        this.requests =
                new JobRequestHandler(
                        epoch,
                        jobs,
                        workers,
                        commits,
                        admission,
                        clock,
                        wallClock,
                        this::recordIfFinal);
        this.agents = new AgentRegistry(epoch, workers);
        InterferenceLearner learner = new InterferenceLearner(jobs, clock, interference);
        this.reports =
                new AgentReportHandler(
                        jobs, workers, agents, orders, attemptLimits, clock, learner, moveCost);
        this.leases = new LeaseGranter(epoch, commits, agents, reports, learner, times, clock);
    }

    /** Starts to take over the cell. */
    public void start() {
        LOG.info("taking-over").with("epoch", epoch).write();
        loop.execute(this::fence);
    }

    /**
     * Handles a message of another process.
     *
     * @param connection the connection that it arrived on
     * @param call the number of the call to answer
     * @param message the message
     */
    public void handle(MessageChannel connection, long call, Message message) {
        loop.execute(() -> handleOnLoop(connection, call, message));
    }

    @Override
    public void close() {
        loop.execute(this::stop);
    }

    // -----------------------------------------------------------------------
    private void stop() {
        closed = true;
        commits.close();
        requests.close();
        if (tickTimer != null) {
            tickTimer.cancel(false);
        }
    }

    private void depose() {
        if (!closed) {
            LOG.info("deposed").with("epoch", epoch).write();
            stop();
            endListener.leaderDeposed();
        }
    }

    /** Ends this leader after an exception; actions that wait for an append never run. */
    private void fail() {
        if (!closed) {
            LOG.error("leader-failed").with("epoch", epoch).write();
            stop();
            endListener.leaderFailed();
        }
    }

    private void fence() {
        if (!closed) {
            loop.onCompletion(
                    store.fence(Topic.CELL, epoch).thenCompose(end -> store.readNewest(Topic.CELL)),
                    this::load);
        }
    }

    private void load(ReadResult state, Throwable failure) {
        if (closed) {
            return;
        }
        if (failure != null) {
            if (StoreFailureClassifier.codeOf(failure) == ErrorCode.EPOCH_FENCED) {
                depose();
                return;
            }
            Throwable cause = WorkFailures.unwrap(failure);
            LOG.warning("take-over-failed").with("epoch", epoch).with("cause", cause).write();
            loop.schedule(TAKE_OVER_RETRY_MILLIS, this::fence);
            return;
        }
        long now = clock.nowMillis();
        commits.setTopicEnd(state.nextOffset());
        queues.restore(state.records());
        jobs.restore(state.records());
        workers.restore(state.records(), now + times.waitAfterFenceMillis());
        interferencePersistence.restore(state.records());
        for (JobEntry job : jobs.getJobs()) {
            job.restoreAcceptanceTime(now, wallClock.getAsLong());
            if (job.isFinalAndReleased()) {
                // An earlier leader logged its end; hundreds of such lines would delay the start.
                job.setFinalAt(now);
            } else {
                recordIfFinal(job);
            }
            workers.addTasks(job, now + times.waitAfterFenceMillis());
            job.allTasks()
                    .filter(task -> task.getEarlierStarts().isInDoubt() && !task.isDone())
                    .forEach(task -> workers.getInDoubtRuns().restore(task.getRun(), now));
        }
        loaded = true;
        LOG.info("leading")
                .with("epoch", epoch)
                .with("jobs", jobs.getJobs().size())
                .with("end", state.nextOffset())
                .write();
        tickTimer = loop.scheduleRepeating(TICK_MILLIS, this::tick);
    }

    private void tick() {
        if (closed) {
            return;
        }
        expire();
        requests.tick();
        reports.stopStalledRuns();
        movePlanner.moveThrottledRuns(clock.nowMillis());
        decide();
    }

    /** Abandons the runs of workers whose lease has certainly expired, and removes old jobs. */
    private void expire() {
        long now = clock.nowMillis();
        workers.getInDoubtRuns().removeExpired(now, jobs::isAssigned);
        for (WorkerEntry worker : List.copyOf(workers.getWorkers())) {
            long expiredMillis =
                    now - worker.getLeaseExpiryMillis() - CellTimes.SAFETY_MARGIN_MILLIS;
            if (expiredMillis > 0) {
                InDoubtPolicy policy = InDoubtPolicy.afterLeaseExpiry(expiredMillis);
                reports.abandonRuns(worker, "lease-expired", policy);
                workers.removeIfReleased(worker);
            }
        }
        agents.removeUnresponsive(now);
        jobs.removeExpired(now - times.statusRetentionMillis());
        queues.removeUnused(jobs, now);
        workers.getOutcomes().removeExpired(now);
    }

    /** Assigns tasks to workers and persists the changes. */
    private void decide() {
        attemptLimits.applyIfChanged(jobs).forEach(this::recordIfFinal);
        if (!commits.isStalled()) {
            List<TaskEntry> assigned =
                    scheduler.schedule(queues.get(), clock.nowMillis(), wallClock.getAsLong());
            jobs.updateStates(assigned);
            orders.startAfterCommit(assigned);
        }
        commits.startAppend();
    }

    /** Schedules one decision for all messages that arrive within a few milliseconds. */
    private void scheduleDecision() {
        if (!decisionScheduled) {
            decisionScheduled = true;
            loop.schedule(BATCH_MILLIS, this::runScheduledDecision);
        }
    }

    private void runScheduledDecision() {
        decisionScheduled = false;
        if (!closed) {
            decide();
        }
    }

    // -----------------------------------------------------------------------
    private void handleOnLoop(MessageChannel connection, long call, Message message) {
        if (closed) {
            connection.answer(call, JobAnswer.of(JobAnswer.Result.NOT_DONE, "no longer leading"));
            return;
        }
        if (message instanceof AgentReport report) {
            report(connection, call, report);
        } else if (!loaded) {
            // The caller retries; the state is read within some tens of milliseconds.
            connection.answer(call, new LeaderNotice(epoch, ""));
            return;
        } else {
            requests.handle(connection, call, message);
        }
        if (loaded) {
            scheduleDecision();
        }
    }

    private void report(MessageChannel connection, long call, AgentReport report) {
        if (report.epoch().compareTo(epoch) > 0) {
            LOG.info("newer-leader-known").with("node", report.node()).write();
            depose();
            return;
        }
        AgentGrant grant = loaded ? leases.handle(connection, report) : leases.grantNoLease();
        if (grant != null) {
            reports.takeChangedJobs().forEach(this::recordIfFinal);
            connection.answer(call, grant);
        }
    }

    private void recordIfFinal(JobEntry job) {
        if (job.getState().isFinal() && job.getFinalAt() < 0) {
            job.setFinalAt(clock.nowMillis());
            LOG.info("final")
                    .with("job", job.getId())
                    .with("state", job.getState())
                    .with("after-millis", clock.nowMillis() - job.getAcceptedAt())
                    .write();
            orders.stopAfterCommit(job.allTasks().toList());
        }
    }
}
