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

import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;

/**
 * Sends a worker the shares of time for which its best-effort runs may run.
 *
 * <p>{@code RunShareUpdater} is not thread-safe; it is confined to the agent's event loop.
 */
final class RunShareUpdater {

    private final WorkerContext context;

    /** Supplies the share of an image, in percent. */
    private ToIntFunction<String> shareByImage = image -> ThrottlePolicy.FULL_SHARE_PERCENT;

    RunShareUpdater(WorkerContext context) {
        this.context = context;
    }

    /**
     * Sets the shares.
     *
     * @param shares supplies the share of an image, in percent
     */
    void setShares(ToIntFunction<String> shares) {
        shareByImage = shares;
    }

    /**
     * Sends the share of a run to the worker if the run is running, is best-effort and has another
     * share.
     *
     * @param run the run
     * @param callback called after the answer, since a run has one call in progress at a time
     */
    void apply(LocalRun run, Runnable callback) {
        if (run.getOrder() == null) {
            return;
        }
        int targetPercent = shareByImage.applyAsInt(run.getOrder().image());
        boolean changes =
                run.getPhase() == LocalRun.Phase.RUNNING
                        && run.getOrder().bestEffort()
                        && run.getShare() != targetPercent
                        && !run.isCallInProgress();
        if (!changes) {
            return;
        }
        run.setCallInProgress(true);
        CompletableFuture<CallResult> answer =
                context.client()
                        .throttle(
                                context.worker().get(),
                                run.getRun(),
                                targetPercent,
                                context.fence().get());
        context.whenAnswered(
                "throttle",
                answer,
                result -> {
                    run.setCallInProgress(false);
                    if (result.kind() == CallResult.Kind.DONE) {
                        run.setShare(targetPercent);
                    }
                    callback.run();
                });
    }
}
