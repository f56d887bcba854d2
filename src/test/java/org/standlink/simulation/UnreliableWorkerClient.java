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
package org.standlink.simulation;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.standlink.Fence;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.runner.WorkerClient;
import org.standlink.wire.StartOrder;

/** A client of a simulated worker whose calls can fail, be delayed or stay unanswered. */
final class UnreliableWorkerClient implements WorkerClient {

    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final int UNHEALTHY_PERCENT = 25;
    private static final long MIN_DELAY_MILLIS = 2000;
    private static final long MAX_DELAY_MILLIS = 12_000;

    private final SimulationEnvironment environment;
    private SimulatedWorker worker;
    private long unresponsiveUntil;
    private long unreliableUntil;
    private int unreliablePercent;
    private long executionDelayMillis = -1;
    private int startsToHold;
    private int startsToRefuse;
    private final Queue<Supplier<CallResult>> heldStarts = new ArrayDeque<>();
    private boolean holdsNextAcknowledgement;
    private Runnable heldAcknowledgement;

    UnreliableWorkerClient(SimulationEnvironment environment) {
        this.environment = environment;
    }

    SimulatedWorker getWorker() {
        return worker;
    }

    void setWorker(SimulatedWorker newWorker) {
        worker = newWorker;
    }

    /** Leaves all calls unanswered for a time; many of them are executed late. */
    void makeUnresponsive(long millis) {
        unresponsiveUntil = Math.max(unresponsiveUntil, environment.now() + millis);
    }

    /** Leaves all calls unanswered for a time and executes each one after the given delay. */
    void makeUnresponsive(long millis, long delayMillis) {
        makeUnresponsive(millis);
        executionDelayMillis = delayMillis;
    }

    /** Leaves the next start calls unanswered and holds each one until it is executed. */
    void holdNextStarts(int count) {
        startsToHold = count;
    }

    /** Lets the worker refuse the next start calls as unhealthy, after those that are held. */
    void refuseNextStarts(int count) {
        startsToRefuse = count;
    }

    /** Counts the start calls that are held. */
    int countHeldStarts() {
        return heldStarts.size();
    }

    /** Executes the held start call that was made first, on the incarnation that is running now. */
    CallResult executeHeldStart() {
        return heldStarts.remove().get();
    }

    /** Leaves the next renewal that acknowledges ends unanswered and holds it. */
    void holdNextAcknowledgement() {
        holdsNextAcknowledgement = true;
    }

    /** Checks whether a renewal that acknowledges ends is held. */
    boolean hasHeldAcknowledgement() {
        return heldAcknowledgement != null;
    }

    /**
     * Executes the held renewal on the incarnation that is running now, under the fence under which
     * it was sent.
     */
    void executeHeldAcknowledgement() {
        heldAcknowledgement.run();
        heldAcknowledgement = null;
    }

    /**
     * Leaves some calls unanswered for a time, which are executed at once, late or not at all;
     * other calls are refused by the worker as unhealthy and not executed.
     */
    void makeUnreliable(long millis, int percent) {
        unreliableUntil = Math.max(unreliableUntil, environment.now() + millis);
        unreliablePercent = percent;
    }

    /** Ends all faults; calls that are already delayed are still executed late. */
    void heal() {
        unresponsiveUntil = 0;
        unreliableUntil = 0;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription to, StartOrder order, long until, Fence fence) {
        String name = "start " + order.run() + " fence " + fence;
        if (startsToHold > 0) {
            startsToHold--;
            return holdStart(name, () -> worker.start(order, until, fence.toToken(), true));
        }
        if (startsToRefuse > 0) {
            startsToRefuse--;
            environment.trace("call refused: " + name);
            return CompletableFuture.completedFuture(
                    new CallResult(CallResult.Kind.UNWELL, -1, "simulated"));
        }
        return callWithResult(
                to, name, delayed -> worker.start(order, until, fence.toToken(), delayed));
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
        return callWithResult(
                to,
                "stop " + run + " fence " + fence,
                delayed -> worker.stop(run, fence.toToken()));
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription to, RunId run, int percent, Fence fence) {
        return callWithResult(
                to, "throttle", delayed -> new CallResult(CallResult.Kind.DONE, -1, ""));
    }

    @Override
    public CompletableFuture<RenewalResult> renew(
            WorkerDescription to, long until, Fence fence, long recordedEnd, long waitMillis) {
        if (holdsNextAcknowledgement && recordedEnd > 0) {
            holdsNextAcknowledgement = false;
            return holdAcknowledgement(until, fence, recordedEnd);
        }
        return call(
                "",
                delayed ->
                        isOtherIncarnation(to)
                                ? CompletableFuture.completedFuture(notDone(otherIncarnation()))
                                : worker.renew(until, fence.toToken(), recordedEnd, waitMillis),
                UnreliableWorkerClient::notDone,
                CALL_TIMEOUT_MILLIS + waitMillis);
    }

    // -----------------------------------------------------------------------
    private CompletableFuture<CallResult> holdStart(String name, Supplier<CallResult> operation) {
        environment.trace("call held: " + name);
        heldStarts.add(
                () -> {
                    CallResult result = worker.isUp() ? operation.get() : unknownResult();
                    environment.trace("held call executed: " + name + " " + result.kind());
                    return result;
                });
        CompletableFuture<CallResult> answer = new CompletableFuture<>();
        environment.schedule(CALL_TIMEOUT_MILLIS, () -> answer.complete(unknownResult()));
        return answer;
    }

    private CompletableFuture<RenewalResult> holdAcknowledgement(
            long until, Fence fence, long recordedEnd) {
        String name = "acknowledgement of ends up to " + recordedEnd + " fence " + fence;
        environment.trace("call held: " + name);
        heldAcknowledgement =
                () -> {
                    environment.trace("held call executed: " + name);
                    worker.renew(until, fence.toToken(), recordedEnd, 0);
                };
        CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
        environment.schedule(CALL_TIMEOUT_MILLIS, () -> answer.complete(notDone(unknownResult())));
        return answer;
    }

    private CompletableFuture<CallResult> callWithResult(
            WorkerDescription to, String name, Function<Boolean, CallResult> operation) {
        return call(
                name + " on " + to.incarnation(),
                delayed ->
                        CompletableFuture.completedFuture(
                                isOtherIncarnation(to)
                                        ? otherIncarnation()
                                        : operation.apply(delayed)),
                result -> result,
                CALL_TIMEOUT_MILLIS);
    }

    private <T> CompletableFuture<T> call(
            String name,
            Function<Boolean, CompletableFuture<T>> operation,
            Function<CallResult, T> toFailure,
            long timeoutMillis) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        T failureResult = toFailure.apply(unknownResult());
        environment.schedule(timeoutMillis, () -> answer.complete(failureResult));
        boolean unresponsive = unresponsiveUntil > environment.now();
        boolean unreliable =
                unreliableUntil > environment.now() && environment.chance(unreliablePercent);
        if (!unresponsive && !unreliable) {
            environment.schedule(
                    environment.draw(1, 4),
                    () -> executeNow(name, operation, failureResult, answer));
            return answer;
        }
        if (unreliable && !unresponsive && environment.chance(UNHEALTHY_PERCENT)) {
            T unhealthyResult =
                    toFailure.apply(new CallResult(CallResult.Kind.UNWELL, -1, "simulated"));
            environment.schedule(environment.draw(2, 8), () -> answer.complete(unhealthyResult));
            return answer;
        }
        long outcome = environment.draw(0, 3);
        if (unresponsive && executionDelayMillis >= 0) {
            environment.schedule(
                    executionDelayMillis, () -> executeUnanswered(name, operation, true));
        } else if (outcome == 0 && !unresponsive) {
            environment.schedule(
                    environment.draw(1, 4), () -> executeUnanswered(name, operation, false));
        } else if (outcome <= 2) {
            long delayMillis = environment.draw(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
            environment.schedule(delayMillis, () -> executeUnanswered(name, operation, true));
        }
        if (!name.isEmpty()) {
            environment.trace("call left unanswered: " + name);
        }
        return answer;
    }

    private <T> void executeNow(
            String name,
            Function<Boolean, CompletableFuture<T>> operation,
            T failureResult,
            CompletableFuture<T> answer) {
        if (!worker.isUp()) {
            answer.complete(failureResult);
            return;
        }
        operation
                .apply(false)
                .thenAccept(
                        value -> {
                            if (value instanceof CallResult result) {
                                environment.trace("call: " + name + " " + result.kind());
                            }
                            environment.schedule(
                                    environment.draw(1, 4), () -> answer.complete(value));
                        });
    }

    private <T> void executeUnanswered(
            String name, Function<Boolean, CompletableFuture<T>> operation, boolean delayed) {
        if (worker.isUp()) {
            operation
                    .apply(delayed)
                    .thenAccept(
                            value -> {
                                if (value instanceof CallResult result) {
                                    environment.trace(
                                            "unanswered call executed: "
                                                    + name
                                                    + " "
                                                    + result.kind());
                                }
                            });
        }
    }

    private boolean isOtherIncarnation(WorkerDescription to) {
        return !to.incarnation().getId().equals(worker.getIncarnation().getId());
    }

    private static CallResult otherIncarnation() {
        return new CallResult(CallResult.Kind.OTHER_LIFE, -1, "simulated");
    }

    private static CallResult unknownResult() {
        return new CallResult(CallResult.Kind.UNKNOWN, -1, "simulated");
    }

    private static RenewalResult notDone(CallResult result) {
        return RenewalResult.notDone(result);
    }
}
