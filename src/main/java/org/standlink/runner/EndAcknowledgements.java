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
import java.util.concurrent.CompletableFuture;
import org.standlink.Fence;
import org.standlink.cell.CellTimes;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.wire.RunOrders;

/**
 * The acknowledgements of recorded ends that are sent to an incarnation of a worker.
 *
 * <p>An acknowledgement without an answer may be carried out late, by the next incarnation under
 * the same id. If that one has started a run late before, the acknowledgement makes it discard the
 * end of that run, as ends are numbered anew by each incarnation. It refuses the acknowledgement if
 * the start had a higher fence. No start is therefore sent while an acknowledgement is in progress,
 * nor later under the fence of one without an answer. If the start was sent first, no fence helps;
 * ends are not acknowledged while any start call to the worker is in doubt.
 *
 * <p>Workers without start times get another id with each incarnation, so nothing waits there.
 *
 * <p>{@code EndAcknowledgements} is not thread-safe; it is confined to the agent's event loop.
 */
final class EndAcknowledgements {

    /**
     * The number of listed, recorded ends from which on they are acknowledged in any case: half of
     * those that a worker lists at once. With a full list, nothing could be started there.
     */
    static final int MAX_WITHHELD = RunListTracker.MAX_LISTED_ENDS / 2;

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    private final WorkerContext context;

    private final RunListTracker runLists;

    /** The start calls to this incarnation and to ended ones. */
    private final List<InDoubtStarts> inDoubtStarts = new ArrayList<>();

    /** Called when a higher fence is required. */
    private final Runnable onChange;

    /** The starts that wait for the acknowledgement in progress. */
    private final List<Runnable> deferredStarts = new ArrayList<>();

    private int inProgress;

    /** The highest fence of an acknowledgement without an answer. */
    private Fence unansweredFence = Fence.NONE;

    /** Until when it may be carried out, on the agent's clock, in milliseconds. */
    private long unansweredUntil;

    EndAcknowledgements(WorkerContext context, RunListTracker runLists, Runnable onChange) {
        this.context = context;
        this.runLists = runLists;
        this.onChange = onChange;
    }

    /**
     * Adds start calls that a later incarnation may carry out before an acknowledgement.
     *
     * @param starts the calls, which may be modified
     */
    void addInDoubtStarts(InDoubtStarts starts) {
        inDoubtStarts.add(starts);
    }

    /**
     * Checks whether acknowledgements may be carried out by the next incarnation of the worker, so
     * that they are sent separately from starts.
     *
     * @return true if the incarnations of the worker may have the same id
     */
    boolean areSeparatedFromStarts() {
        return context.mayKeepId();
    }

    /**
     * Records up to which end the leader has recorded the ends.
     *
     * @param orders orders of the leader
     */
    void recordEnds(RunOrders orders) {
        long before = runLists.getRecordedEnd();
        if (runLists.advanceRecordedEnd(orders.recordedEnd())) {
            LOG.info("ends-recorded")
                    .with("worker", context.worker().get().incarnation())
                    .with("before", before)
                    .with("number", orders.recordedEnd())
                    .with("epoch", orders.epoch())
                    .write();
        }
    }

    /**
     * Gets the number up to which the next renewal acknowledges ends.
     *
     * @return the number, 0 for none
     */
    long getNextNumber() {
        return isWithheld() ? 0 : runLists.getEndToAcknowledge();
    }

    /**
     * Checks whether recorded ends are not acknowledged yet, so that the worker lists them in each
     * answer.
     *
     * @return true if a start call is in doubt
     */
    boolean isWithheld() {
        int count = runLists.countEndsToAcknowledge();
        return count > 0
                && count < MAX_WITHHELD
                && areSeparatedFromStarts()
                && inDoubtStarts.stream().anyMatch(this::containsAny);
    }

    private boolean containsAny(InDoubtStarts starts) {
        return !starts.list(context.clock().nowMillis()).isEmpty();
    }

    /**
     * Tracks a renewal that acknowledges ends.
     *
     * @param answer the answer to the renewal
     * @param fence the fence under which it is sent
     */
    void track(CompletableFuture<RenewalResult> answer, Fence fence) {
        inProgress++;
        long until = context.clock().nowMillis() + CellTimes.MAX_CALL_DELAY_MILLIS;
        Guarded.onCompletionAsync(
                "end-acknowledgement",
                answer,
                context.loop(),
                (result, failure) -> {
                    inProgress--;
                    if (failure != null || result.result().kind() == CallResult.Kind.UNKNOWN) {
                        handleMissingAnswer(fence, until);
                    }
                    resumeStarts();
                });
    }

    private void handleMissingAnswer(Fence fence, long until) {
        LOG.info("acknowledgement-unanswered")
                .with("worker", context.worker().get().incarnation())
                .with("fence", fence)
                .write();
        unansweredFence = fence;
        unansweredUntil = until;
        onChange.run();
    }

    private void resumeStarts() {
        if (inProgress == 0) {
            List<Runnable> starts = List.copyOf(deferredStarts);
            deferredStarts.clear();
            starts.forEach(Runnable::run);
        }
    }

    /**
     * Defers a start while an acknowledgement is in progress.
     *
     * @param start sends the start call
     * @return false if none is in progress
     */
    boolean deferStart(Runnable start) {
        return inProgress > 0 && deferredStarts.add(start);
    }

    /**
     * Checks whether an acknowledgement without an answer was sent under the fence in force and may
     * still be carried out. Starts have to wait for a higher fence.
     *
     * @return true if the leader has to raise the generation
     */
    boolean isHigherFenceRequired() {
        return context.fence().get().equals(unansweredFence)
                && context.clock().nowMillis() < unansweredUntil;
    }
}
