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
 * The calls that stop runs on one incarnation of a worker.
 *
 * <p>A call is repeated until the worker has answered that it stops the run.
 *
 * <p>{@code StopCalls} is not thread-safe; the agent's loop owns it.
 */
final class StopCalls {

    /** The pause before a failed call is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 150;

    /** For how long a stopped run without an end may still be listed, in milliseconds. */
    private static final long STOP_MILLIS = 1000;

    /** What calls of the worker need. */
    private final WorkerContext context;

    /** Tells whether the worker answered the last look at it. */
    private final BooleanSupplier reachable;

    /** The runs, of which those are removed that ended with another incarnation. */
    private final Map<RunId, LocalRun> runs;

    /** The fence under which a stop was refused, as the worker has seen a higher one; or null. */
    private Fence refusedFence;

    /**
     * Constructor.
     *
     * @param context what calls of the worker need
     * @param reachable tells whether the worker answered the last look at it
     * @param runs the runs
     */
    StopCalls(WorkerContext context, BooleanSupplier reachable, Map<RunId, LocalRun> runs) {
        this.context = context;
        this.reachable = reachable;
        this.runs = runs;
    }

    /**
     * Calls the worker to stop a run, unless such a call is under way or the order is void.
     *
     * @param run the run
     */
    void call(LocalRun run) {
        if (run.isCalling() || run.getPhase() != LocalRun.Phase.STOPPING || isVoid(run)) {
            return;
        }
        Fence present = context.fence().get();
        if (!reachable.getAsBoolean() || present.equals(refusedFence)) {
            context.later(PAUSE_MILLIS, () -> call(run));
            return;
        }
        run.setCalling(true);
        CompletableFuture<CallResult> answer =
                context.calls().stop(context.worker().get(), run.getRun(), present);
        context.whenAnswered("stop", answer, result -> answered(run, result, present));
    }

    /**
     * Takes the runs off the table that were stopped and are not there any more, and stops those
     * again that are.
     *
     * @param lists what the worker listed, whole
     * @param sentAt when the worker was asked, on the agent's clock, in milliseconds
     * @return the runs that are gone without an end
     */
    List<RunId> settle(WorkerLists lists, long sentAt) {
        List<RunId> gone = new ArrayList<>();
        for (LocalRun run : List.copyOf(runs.values())) {
            boolean over =
                    run.getPhase() == LocalRun.Phase.STOPPED
                            && sentAt - run.getStoppedAt() > STOP_MILLIS;
            if (over && lists.isRunning(run.getRun())) {
                // Further orders to stop it are ignored, so nobody else would repeat it.
                run.setPhase(LocalRun.Phase.STOPPING);
                call(run);
            } else if (over) {
                runs.remove(run.getRun());
                gone.add(run.getRun());
            }
        }
        return gone;
    }

    // -----------------------------------------------------------------------
    private void answered(LocalRun run, CallResult result, Fence sentFence) {
        run.setCalling(false);
        context.log("stop", run.getRun(), result);
        if (isVoid(run)) {
            return;
        }
        if (result.kind() == CallResult.Kind.FENCED) {
            // The newer leader's order for the same stop may have been ignored meanwhile.
            refusedFence = sentFence;
        }
        switch (result.kind()) {
            case DONE -> run.stopped(context.clock().nowMillis());
            case OTHER_LIFE -> runs.remove(run.getRun());
            default -> context.later(PAUSE_MILLIS, () -> call(run));
        }
    }

    private boolean isVoid(LocalRun run) {
        return runs.get(run.getRun()) != run;
    }
}
