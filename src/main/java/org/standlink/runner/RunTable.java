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
package org.standlink.runner;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;
import org.standlink.job.RunEnd;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.process.EventLog;
import org.standlink.wire.StartOrder;
import org.standlink.wire.StartRefusal;

/**
 * The runs that the leader wants started or stopped on one life of a worker.
 *
 * <p>A call without an answer may be carried out later, so it is repeated until the worker has said
 * what became of the run.
 *
 * <p>{@code RunTable} is not thread-safe; the agent's loop owns it.
 */
final class RunTable {

    /** The pause before a failed call is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 150;

    /** The log. */
    private static final EventLog LOG = EventLog.of(RunTable.class);

    /** What calls of the worker need. */
    private final WorkerContext context;

    /** What must hold for runs to be started. */
    private final StartConditions conditions;

    /** Is told when there is something to report. */
    private final Runnable whenChanged;

    /** Asks for the worker's lists. */
    private final Runnable askForLists;

    /** The runs. */
    private final Map<RunId, LocalRun> runs = new LinkedHashMap<>();

    /** The runs that the worker turned away as old ones. */
    private final SupersededRuns superseded = new SupersededRuns();

    /** The runs whose starts under an older fence may still be carried out. */
    private final Set<RunId> unsure = new HashSet<>();

    /** The start calls that may still be carried out. */
    private final OpenStarts openStarts = new OpenStarts();

    /** What the leader is to be told of as released. */
    private final ReleasedRuns released = new ReleasedRuns();

    /** What the worker said last. */
    private WorkerLists lists = WorkerLists.NONE;

    /** Tells the worker the shares of best-effort runs. */
    private final RunShares shares;

    /** Tells the worker which runs to stop. */
    private final StopCalls stops;

    /**
     * Constructor.
     *
     * @param context what calls of the worker need
     * @param conditions what must hold for runs to be started
     * @param whenChanged is told when there is something to report
     * @param askForLists asks for the worker's lists, which {@link #settle} takes
     */
    RunTable(
            WorkerContext context,
            StartConditions conditions,
            Runnable whenChanged,
            Runnable askForLists) {
        this.context = context;
        this.conditions = conditions;
        this.whenChanged = whenChanged;
        this.askForLists = askForLists;
        this.shares = new RunShares(context);
        this.stops = new StopCalls(context, conditions.reachable(), runs);
    }

    /** Forgets all runs; calls under way have no effect here any more. */
    void clear() {
        runs.clear();
        superseded.clear();
    }

    /** Forgets the runs that have not begun or are being stopped; the leader tells them anew. */
    void dropAllButRunning() {
        runs.values().stream()
                .filter(run -> run.isCalling() || run.isUncertain())
                .forEach(run -> unsure.add(run.getRun()));
        runs.values().removeIf(run -> run.getPhase() != LocalRun.Phase.RUNNING);
    }

    /** Takes note that the worker has seen the fence in force, so that it refuses older calls. */
    void fenceSeen() {
        unsure.clear();
    }

    /**
     * Gets what the leader is to be told of as released.
     *
     * @return the runs, which change
     */
    ReleasedRuns getReleased() {
        return released;
    }

    /**
     * Lists the runs that the next incarnation of the worker under the same id may still start.
     *
     * @return the runs
     */
    List<RunId> listOpen() {
        return openStarts.list(context.clock().nowMillis());
    }

    /**
     * Checks whether an open call is to be barred by a higher fence than the one in force.
     *
     * @return true if the leader has to raise the generation
     */
    boolean isHigherFenceNeeded() {
        return context.fence().get().equals(openStarts.getExceeded());
    }

    /**
     * Finds the order by which a run was started.
     *
     * @param id the run
     * @return the order, null if this agent has none
     */
    StartOrder findOrder(RunId id) {
        LocalRun run = runs.get(id);
        return run == null ? null : run.getOrder();
    }

    /**
     * Starts a run; one that is known already is passed over, and one whose release the leader has
     * yet to be told of: it would begin beside the run that takes its place.
     *
     * @param order the order
     * @param toldAnew whether an earlier process of the agent may have been given it
     */
    void start(StartOrder order, boolean toldAnew) {
        if (runs.containsKey(order.run()) || released.contains(order.run())) {
            return;
        }
        LocalRun run = new LocalRun(order.run(), order, LocalRun.Phase.STARTING);
        long now = context.clock().nowMillis();
        boolean listed = lists.isRunning(order.run());
        boolean open = openStarts.contains(order.run(), now);
        if (open || unsure.contains(order.run())) {
            run.setUncertain();
        }
        runs.put(order.run(), run);
        if (toldAnew) {
            run.setMaybeAtWork(now);
        }
        if (listed) {
            // It was started by an earlier process of this agent, which may have throttled it.
            run.setShare(LocalRun.UNKNOWN_SHARE);
        }
        if (listed && keepsId()) {
            run.setPhase(LocalRun.Phase.RUNNING);
            applyShare(run);
        } else if (open) {
            callAfterList(run);
        } else {
            callStart(run);
        }
    }

    /**
     * Stops a run.
     *
     * @param id the run
     */
    void stop(RunId id) {
        LocalRun run = runs.get(id);
        if (run == null) {
            run = new LocalRun(id, null, LocalRun.Phase.STOPPING);
            runs.put(id, run);
        } else if (run.isStopOrdered()) {
            // Its stop is being repeated already; a second series of calls would add up.
            return;
        }
        run.setPhase(LocalRun.Phase.STOPPING);
        stops.call(run);
    }

    // -----------------------------------------------------------------------
    private void callStart(LocalRun run) {
        if (run.isCalling() || run.getPhase() != LocalRun.Phase.STARTING || isDropped(run)) {
            return;
        }
        String obstacle = conditions.findObstacle();
        if (!obstacle.isEmpty()) {
            if (run.beginWaiting()) {
                LOG.info("start-waits")
                        .with("run", run.getRun())
                        .with("worker", context.worker().get().life())
                        .with("for", obstacle)
                        .write();
            }
            context.later(PAUSE_MILLIS, () -> callStart(run));
            return;
        }
        run.setCalling(true);
        if (keepsId()) {
            openStarts.called(run.getRun(), context.fence().get(), context.clock().nowMillis());
        }
        long until = conditions.leaseClock().renew(conditions.leaseEnd().getAsLong());
        CompletableFuture<CallResult> answer =
                context.calls()
                        .start(
                                context.worker().get(),
                                run.getOrder(),
                                until,
                                context.fence().get());
        context.whenAnswered("start", answer, result -> started(run, result));
    }

    /**
     * Checks whether the next incarnation of the worker has the same id, so that it takes calls.
     */
    private boolean keepsId() {
        return context.worker().get().life().isKnown();
    }

    private void started(LocalRun run, CallResult result) {
        run.setCalling(false);
        openStarts.returned(run.getRun(), result.kind() != CallResult.Kind.UNKNOWN);
        conditions.leaseClock().answered(result.clockMillis(), context.clock().nowMillis());
        if (result.kind() != CallResult.Kind.DONE) {
            context.log("start", run.getRun(), result);
        }
        if (isDropped(run)) {
            return;
        }
        if (run.getPhase() == LocalRun.Phase.STOPPING) {
            stops.call(run);
            return;
        }
        switch (result.kind()) {
            case DONE -> {
                run.setPhase(LocalRun.Phase.RUNNING);
                applyShare(run);
            }
            case UNKNOWN -> unanswered(run);
            case LEASE_PAST -> context.later(PAUSE_MILLIS, () -> callStart(run));
            case NO_ROOM, UNWELL, INVALID -> refused(run, result);
            case EVACUATED -> evacuated(run, result);
            case SUPERSEDED -> superseded(run);
            case FENCED, OTHER_LIFE -> runs.remove(run.getRun());
        }
    }

    /**
     * A call was not answered. Where it may reach the worker's next incarnation, it is only
     * repeated once a list has shown that it has not been carried out: each further call is one
     * more that may come late.
     */
    private void unanswered(LocalRun run) {
        run.setUncertain();
        Runnable repeat = keepsId() ? () -> callAfterList(run) : () -> callStart(run);
        context.later(PAUSE_MILLIS, repeat);
    }

    /** The call before may still be carried out; a higher fence bars it. */
    private void callOnceMore(LocalRun run) {
        if (run.getPhase() == LocalRun.Phase.STARTING && openStarts.exceed(run.getRun())) {
            whenChanged.run();
        }
        callStart(run);
    }

    private void callAfterList(LocalRun run) {
        run.awaitList(context.clock().nowMillis());
        askForLists.run();
    }

    /**
     * The worker refuses a run. If an earlier call for it was left without an answer, that call may
     * still be carried out, so the run is only over once it is stopped.
     */
    private void refused(LocalRun run, CallResult result) {
        if (run.isUncertain()) {
            stop(run.getRun());
            return;
        }
        if (run.isMaybeAtWork() && result.kind() != CallResult.Kind.NO_ROOM) {
            // An unwell worker refuses also what it runs; its next list tells.
            context.later(PAUSE_MILLIS, () -> callStart(run));
            return;
        }
        runs.remove(run.getRun());
        released.refuse(
                new StartRefusal(run.getRun(), result.detail(), result.isWorkerToBeAvoided()));
        whenChanged.run();
    }

    /** What runs in an evacuated hall goes on; what has not begun goes back to the leader. */
    private void evacuated(LocalRun run, CallResult result) {
        if (lists.isRunning(run.getRun())) {
            run.setPhase(LocalRun.Phase.RUNNING);
            applyShare(run);
        } else {
            refused(run, result);
        }
    }

    /** The worker has seen the end of this run, or a later one; its next list tells which. */
    private void superseded(LocalRun run) {
        runs.remove(run.getRun());
        superseded.add(run.getRun(), context.clock().nowMillis());
    }

    private void lose(RunId run) {
        released.lose(run);
        whenChanged.run();
    }

    /** What an answer says of a run whose order is void must not count for a later order. */
    private boolean isDropped(LocalRun run) {
        return runs.get(run.getRun()) != run;
    }

    /**
     * Brings what is known of each run in line with the worker's lists.
     *
     * @param nowRunning what runs
     * @param nowEnded the ends that have not been recorded
     * @param sentAt when the worker was asked
     */
    void settle(List<RunProgress> nowRunning, List<RunEnd> nowEnded, long sentAt) {
        lists = new WorkerLists(nowRunning, nowEnded);
        for (RunEnd end : nowEnded) {
            runs.remove(end.run());
        }
        runs.values().stream()
                .filter(run -> !lists.isRunning(run.getRun()))
                .forEach(run -> run.notListed(sentAt));
        openStarts.settle(lists);
        for (RunProgress progress : nowRunning) {
            LocalRun run = runs.get(progress.run());
            if (run != null && run.getPhase() == LocalRun.Phase.STARTING) {
                run.setPhase(LocalRun.Phase.RUNNING);
            }
        }
        if (nowEnded.size() >= RunLists.MOST_ENDS) {
            return;
        }
        List.copyOf(runs.values()).stream()
                .filter(run -> run.takeAwaited(sentAt))
                .forEach(this::callOnceMore);
        superseded.takeGone(lists, sentAt).forEach(this::lose);
        stops.settle(lists, sentAt).forEach(this::lose);
    }

    // -----------------------------------------------------------------------
    /**
     * Sets the share of time for which best-effort runs work.
     *
     * @param byImage tells the share of an image, in percent
     */
    void throttle(ToIntFunction<String> byImage) {
        shares.set(byImage);
        runs.values().forEach(this::applyShare);
    }

    private void applyShare(LocalRun run) {
        shares.apply(run, () -> stops.call(run));
    }
}
