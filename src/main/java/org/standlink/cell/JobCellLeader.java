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
import org.standlink.StandlinkException;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.process.WorkFailures;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;

/**
 * Leads a cell for one epoch: takes jobs, assigns their tasks and grants leases to agents.
 *
 * <p>It first raises the writer's epoch in the store, so that nothing of an older leader can be
 * kept any more, and then reads the state, which is complete.
 *
 * <p>{@code BundleCellLeader} is thread-safe: every call is handed to the loop.
 */
public final class JobCellLeader implements AutoCloseable {

    /** The time between two looks at leases and at jobs that have become due, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /**
     * How long messages are gathered before the next decision, in milliseconds; an append takes
     * twice as long.
     */
    private static final long GATHER_MILLIS = 4;

    /** The pause before a failed step of taking over is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 150;

    /** The log. */
    private static final EventLog LOG = EventLog.of(JobCellLeader.class);

    /** The epoch. */
    private final Epoch epoch;

    /** The store. */
    private final KeyedStore store;

    /** The lengths of time agreed on. */
    private final CellTimes times;

    /** The clock. */
    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** The configuration in force. */
    private final Supplier<Configuration> configuration;

    /** How many runs of a task may fail. */
    private final AttemptLimits attempts;

    /** The loop. */
    private final LeaderLoop loop;

    /** Is told when this leader leads no more. */
    private final LeaderEndListener whenOver;

    /** The jobs. */
    private final JobRegistry board = new JobRegistry();

    /** The workers. */
    private final WorkerRegistry workers;

    /** Keeps what is believed of images. */
    private final InterferencePersistence beliefs;

    /** Assigns tasks. */
    private final Scheduler scheduler;

    /** Keeps changes. */
    private final CommitQueue commits;

    /** Tells agents what to do. */
    private final OrderDispatcher orders;

    /** Moves throttled runs. */
    private final MovePlanner moves;

    /** The agents. */
    private final AgentRegistry agents;

    /** Grants leases. */
    private final LeaseGranter leases;

    /** Handles reports of agents. */
    private final AgentReportHandler reports;

    /** Answers callers. */
    private final JobRequestHandler callers;

    /** Whether the state has been read. */
    private boolean active;

    /** Whether another process leads, or this one has stopped. */
    private volatile boolean closed;

    /** Whether a decision is due soon. */
    private boolean deciding;

    /** The timer of the loop. */
    private ScheduledFuture<?> ticks;

    /**
     * Constructor.
     *
     * @param epoch the epoch
     * @param store the store
     * @param times the lengths of time agreed on
     * @param clock the clock
     * @param wallClock the time of day, in milliseconds since 1970
     * @param configuration the configuration in force
     * @param evacuated the halls that this process knows to be evacuated
     * @param loop the loop, of one thread
     * @param whenOver is told when this leader leads no more
     */
    public JobCellLeader(
            Epoch epoch,
            KeyedStore store,
            CellTimes times,
            MonotonicClock clock,
            LongSupplier wallClock,
            Supplier<Configuration> configuration,
            Supplier<EvacuatedHalls> evacuated,
            ScheduledExecutorService loop,
            LeaderEndListener whenOver) {
        this.epoch = epoch;
        this.store = store;
        this.times = times;
        this.clock = clock;
        this.wallClock = wallClock;
        this.configuration = configuration;
        this.attempts = new AttemptLimits(configuration);
        this.workers = new WorkerRegistry(evacuated);
        this.loop = new LeaderLoop(loop, this::fail);
        this.whenOver = whenOver;
        InterferenceTable harm = new InterferenceTable();
        Placement placement = new LeastRequestedPlacement(harm);
        this.scheduler = new Scheduler(board, workers, placement);
        this.beliefs = new InterferencePersistence(harm, clock);
        this.commits =
                new CommitQueue(
                        store,
                        epoch,
                        List.of(board, workers, beliefs),
                        new LeaderAuthority(clock, wallClock),
                        this.loop,
                        loop,
                        this::depose);
        this.orders = new OrderDispatcher(epoch, board, workers, commits);
        MoveCostEstimator moveCost = new MoveCostEstimator();
        this.moves = new MovePlanner(workers, placement, orders, commits, moveCost);
        this.callers =
                new JobRequestHandler(
                        epoch, board, workers, commits, clock, wallClock, this::noteFinal);
        this.agents = new AgentRegistry(epoch, workers);
        InterferenceLearner figures = new InterferenceLearner(board, clock, harm);
        this.reports =
                new AgentReportHandler(
                        board, workers, agents, orders, attempts, clock, figures, moveCost);
        this.leases = new LeaseGranter(epoch, commits, agents, reports, figures, times, clock);
    }

    /** Begins to take over. */
    public void start() {
        LOG.info("taking-over").with("epoch", epoch).write();
        loop.execute(this::fence);
    }

    /**
     * Handles a message of another process.
     *
     * @param connection where it came from
     * @param call the number to answer under
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
        callers.close();
        if (ticks != null) {
            ticks.cancel(false);
        }
    }

    private void depose() {
        if (!closed) {
            LOG.info("deposed").with("epoch", epoch).write();
            stop();
            whenOver.leaderDeposed();
        }
    }

    /** Ends this leader after a throw: nothing that waits to be kept is told to anybody. */
    private void fail() {
        if (!closed) {
            LOG.error("leader-failed").with("epoch", epoch).write();
            stop();
            whenOver.leaderFailed();
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
            Throwable cause = WorkFailures.causeOf(failure);
            if (cause instanceof StandlinkException known
                    && known.getCode() == ErrorCode.EPOCH_FENCED) {
                depose();
                return;
            }
            LOG.warning("take-over-failed").with("epoch", epoch).with("cause", cause).write();
            loop.schedule(PAUSE_MILLIS, this::fence);
            return;
        }
        long now = clock.nowMillis();
        commits.setTopicEnd(state.next());
        board.restore(state.records());
        workers.restore(state.records(), now + times.waitAfterFenceMillis());
        beliefs.restore(state.records());
        for (JobEntry job : board.getJobs()) {
            job.restoreAcceptanceTime(now, wallClock.getAsLong());
            if (job.isFinalAndReleased()) {
                // An earlier leader told of it; hundreds of such lines would hold up a start.
                job.setFinalAt(now);
            } else {
                noteFinal(job);
            }
            job.allTasks()
                    .filter(task -> task.getWorker() != null)
                    .forEach(task -> workers.addTask(task, now + times.waitAfterFenceMillis()));
        }
        active = true;
        LOG.info("leading")
                .with("epoch", epoch)
                .with("jobs", board.getJobs().size())
                .with("end", state.next())
                .write();
        ticks = loop.scheduleRepeating(TICK_MILLIS, this::tick);
    }

    private void tick() {
        if (closed) {
            return;
        }
        expire();
        callers.rejectUnsentIfStalled();
        reports.stopStalledRuns();
        moves.moveThrottledRuns(clock.nowMillis());
        decide();
    }

    /** Releases what ran on workers whose lease has surely run out, and forgets old jobs. */
    private void expire() {
        long now = clock.nowMillis();
        for (WorkerEntry worker : List.copyOf(workers.getWorkers())) {
            if (now > worker.getLeaseExpiryMillis() + CellTimes.SAFETY_MARGIN_MILLIS) {
                reports.abandonRuns(worker, "lease-expired");
                workers.remove(worker);
            }
        }
        agents.removeUnresponsive(now);
        board.removeExpired(now - times.statusRetentionMillis());
    }

    /** Assigns what can be assigned, and keeps what has changed. */
    private void decide() {
        attempts.applyOnce(board).forEach(this::noteFinal);
        if (!commits.isStalled()) {
            List<TaskEntry> assigned =
                    scheduler.schedule(
                            configuration.get(), clock.nowMillis(), wallClock.getAsLong());
            assigned.stream()
                    .map(task -> board.find(task.getName().job()))
                    .distinct()
                    .forEach(job -> job.updateState(Integer.MAX_VALUE));
            orders.startAfterCommit(assigned);
        }
        commits.startAppend();
    }

    /** Decides once for all messages that come within a few milliseconds. */
    private void decideSoon() {
        if (!deciding) {
            deciding = true;
            loop.schedule(GATHER_MILLIS, this::decideNow);
        }
    }

    private void decideNow() {
        deciding = false;
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
        } else if (!active) {
            // The caller asks again; the state is read within some tens of milliseconds.
            connection.answer(call, new LeaderNotice(epoch, ""));
            return;
        } else {
            callers.handle(connection, call, message);
        }
        if (active) {
            decideSoon();
        }
    }

    private void report(MessageChannel connection, long call, AgentReport report) {
        if (report.epoch().compareTo(epoch) > 0) {
            LOG.info("newer-leader-known").with("node", report.node()).write();
            depose();
            return;
        }
        AgentGrant grant = active ? leases.handle(connection, report) : leases.grantNoLease();
        if (grant != null) {
            reports.takeChangedJobs().forEach(this::noteFinal);
            connection.answer(call, grant);
        }
    }

    private void noteFinal(JobEntry job) {
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
