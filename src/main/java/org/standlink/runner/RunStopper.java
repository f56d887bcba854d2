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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.standlink.Fence;
import org.standlink.job.RunId;

/**
 * Stops runs on an incarnation of a worker. A call is repeated until the worker accepts it. Runs
 * that no longer exist are removed from the map that is passed in.
 *
 * <p>{@code RunStopper} is not thread-safe; it is confined to the agent's event loop.
 */
final class RunStopper {

    /** The delay before a call is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** How long a stopped run may remain listed as running without an end, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 1000;

    private final WorkerContext context;

    /** Supplies whether the worker answered the last renewal. */
    private final BooleanSupplier reachable;

    /** The runs of the incarnation; those that belong to another one are removed. */
    private final Map<RunId, LocalRun> runs;

    /**
     * The fence under which a stop was refused, since the worker has seen a higher one; or null.
     */
    private Fence refusedFence;

    RunStopper(WorkerContext context, BooleanSupplier reachable, Map<RunId, LocalRun> runs) {
        this.context = context;
        this.reachable = reachable;
        this.runs = runs;
    }

    /**
     * Calls the worker to stop a run, unless a call is in progress or the order was dropped.
     *
     * @param run the run
     */
    void callStop(LocalRun run) {
        if (run.isCallInProgress() || run.getPhase() != LocalRun.Phase.STOPPING || isDropped(run)) {
            return;
        }
        Fence currentFence = context.fence().get();
        if (!reachable.getAsBoolean() || currentFence.equals(refusedFence)) {
            context.schedule(RETRY_DELAY_MILLIS, () -> callStop(run));
            return;
        }
        run.setCallInProgress(true);
        CompletableFuture<CallResult> answer =
                context.client().stop(context.worker().get(), run.getRun(), currentFence);
        context.whenAnswered("stop", answer, result -> handleAnswer(run, result, currentFence));
    }

    /**
     * Removes the stopped runs that are not listed any more, and stops those again that are.
     *
     * @param reportedRuns the complete lists of the worker
     * @param sentAt when the lists were requested, on the agent's clock, in milliseconds
     * @return the runs that were removed without a listed end
     */
    List<RunId> reconcile(ReportedRuns reportedRuns, long sentAt) {
        List<RunId> gone = new ArrayList<>();
        for (LocalRun run : List.copyOf(runs.values())) {
            boolean timedOut =
                    run.getPhase() == LocalRun.Phase.STOPPED
                            && sentAt - run.getStoppedAt() > STOP_TIMEOUT_MILLIS;
            if (timedOut && reportedRuns.isRunning(run.getRun())) {
                // Further orders to stop it are ignored here, so nothing else would repeat the
                // call.
                run.setPhase(LocalRun.Phase.STOPPING);
                callStop(run);
            } else if (timedOut) {
                runs.remove(run.getRun());
                gone.add(run.getRun());
            }
        }
        return gone;
    }

    // -----------------------------------------------------------------------
    private void handleAnswer(LocalRun run, CallResult result, Fence sentFence) {
        run.setCallInProgress(false);
        context.logResult("stop", run.getRun(), result);
        if (isDropped(run)) {
            return;
        }
        if (result.kind() == CallResult.Kind.FENCED) {
            // The newer leader's order for the same stop may have been ignored meanwhile.
            refusedFence = sentFence;
        }
        switch (result.kind()) {
            case DONE -> run.markStopped(context.clock().nowMillis());
            case OTHER_LIFE -> runs.remove(run.getRun());
            default -> context.schedule(RETRY_DELAY_MILLIS, () -> callStop(run));
        }
    }

    private boolean isDropped(LocalRun run) {
        return runs.get(run.getRun()) != run;
    }
}
