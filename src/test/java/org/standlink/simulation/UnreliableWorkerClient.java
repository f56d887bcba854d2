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

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.standlink.Fence;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.runner.WorkerClient;
import org.standlink.wire.StartOrder;

/** The way from an agent to the worker beside it, on which calls stay without an answer. */
final class UnreliableWorkerClient implements WorkerClient {

    private static final long CALL_MILLIS = 500;
    private static final int UNWELL_PERCENT = 25;
    private static final long FIRST_LATE_MILLIS = 2000;
    private static final long LAST_LATE_MILLIS = 12_000;

    private final SimulationEnvironment world;
    private SimulatedWorker life;
    private long silentUntil;
    private long unsureUntil;
    private int unsurePercent;
    private long doneAfterMillis = -1;

    UnreliableWorkerClient(SimulationEnvironment world) {
        this.world = world;
    }

    SimulatedWorker getWorker() {
        return life;
    }

    void setWorker(SimulatedWorker present) {
        life = present;
    }

    /** No call is done or answered for a while. */
    void makeUnresponsive(long millis) {
        silentUntil = Math.max(silentUntil, world.now() + millis);
    }

    /** No call is answered for a while, and each one is done so long after it was made. */
    void makeUnresponsive(long millis, long lateMillis) {
        makeUnresponsive(millis);
        doneAfterMillis = lateMillis;
    }

    /**
     * Calls may stay without an answer for a while, and be done at once, late or not at all; or the
     * worker says that it is unwell, and does nothing.
     */
    void makeUnreliable(long millis, int percent) {
        unsureUntil = Math.max(unsureUntil, world.now() + millis);
        unsurePercent = percent;
    }

    /** Ends all faults of this way; what is late stays late. */
    void heal() {
        silentUntil = 0;
        unsureUntil = 0;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription to, StartOrder order, long until, Fence fence) {
        return simple(
                to,
                "start " + order.run() + " fence " + fence,
                late -> life.start(order, until, fence.toToken(), late));
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
        return simple(
                to, "stop " + run + " fence " + fence, late -> life.stop(run, fence.toToken()));
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription to, RunId run, int percent, Fence fence) {
        return simple(to, "pace", late -> new CallResult(CallResult.Kind.DONE, -1, ""));
    }

    @Override
    public CompletableFuture<RenewalResult> renew(
            WorkerDescription to, long until, Fence fence, long recordedEnd, long waitMillis) {
        return call(
                "",
                late ->
                        isOther(to)
                                ? CompletableFuture.completedFuture(unheard(otherLife()))
                                : life.renew(until, fence.toToken(), recordedEnd, waitMillis),
                UnreliableWorkerClient::unheard,
                CALL_MILLIS + waitMillis);
    }

    // -----------------------------------------------------------------------
    private CompletableFuture<CallResult> simple(
            WorkerDescription to, String name, Function<Boolean, CallResult> effect) {
        return call(
                name + " on " + to.incarnation(),
                late ->
                        CompletableFuture.completedFuture(
                                isOther(to) ? otherLife() : effect.apply(late)),
                result -> result,
                CALL_MILLIS);
    }

    private <T> CompletableFuture<T> call(
            String name,
            Function<Boolean, CompletableFuture<T>> effect,
            Function<CallResult, T> failed,
            long timeoutMillis) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        T unheard = failed.apply(unknown());
        world.schedule(timeoutMillis, () -> answer.complete(unheard));
        boolean silent = silentUntil > world.now();
        boolean unsure = unsureUntil > world.now() && world.chance(unsurePercent);
        if (!silent && !unsure) {
            world.schedule(world.draw(1, 4), () -> doNow(name, effect, unheard, answer));
            return answer;
        }
        if (unsure && !silent && world.chance(UNWELL_PERCENT)) {
            T unwell = failed.apply(new CallResult(CallResult.Kind.UNWELL, -1, "simulated"));
            world.schedule(world.draw(2, 8), () -> answer.complete(unwell));
            return answer;
        }
        long fate = world.draw(0, 3);
        if (silent && doneAfterMillis >= 0) {
            world.schedule(doneAfterMillis, () -> doLate(name, effect, true));
        } else if (fate == 0 && !silent) {
            world.schedule(world.draw(1, 4), () -> doLate(name, effect, false));
        } else if (fate <= 2) {
            long late = world.draw(FIRST_LATE_MILLIS, LAST_LATE_MILLIS);
            world.schedule(late, () -> doLate(name, effect, true));
        }
        if (!name.isEmpty()) {
            world.trace("call without answer: " + name);
        }
        return answer;
    }

    private <T> void doNow(
            String name,
            Function<Boolean, CompletableFuture<T>> effect,
            T unheard,
            CompletableFuture<T> answer) {
        if (!life.isUp()) {
            answer.complete(unheard);
            return;
        }
        effect.apply(false)
                .thenAccept(
                        value -> {
                            if (value instanceof CallResult result) {
                                world.trace("call: " + name + " " + result.kind());
                            }
                            world.schedule(world.draw(1, 4), () -> answer.complete(value));
                        });
    }

    private <T> void doLate(
            String name, Function<Boolean, CompletableFuture<T>> effect, boolean late) {
        if (life.isUp()) {
            effect.apply(late)
                    .thenAccept(
                            value -> {
                                if (value instanceof CallResult result) {
                                    world.trace("unheard call: " + name + " " + result.kind());
                                }
                            });
        }
    }

    private boolean isOther(WorkerDescription to) {
        return !to.incarnation().getId().equals(life.getIncarnation().getId());
    }

    private static CallResult otherLife() {
        return new CallResult(CallResult.Kind.OTHER_LIFE, -1, "simulated");
    }

    private static CallResult unknown() {
        return new CallResult(CallResult.Kind.UNKNOWN, -1, "simulated");
    }

    private static RenewalResult unheard(CallResult result) {
        return RenewalResult.notDone(result);
    }
}
