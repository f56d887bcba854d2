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
 * Tells a worker for which share of time its best-effort runs may work.
 *
 * <p>{@code RunShareUpdater} is not thread-safe; the agent's loop owns it.
 */
final class RunShareUpdater {

    /** What calls of the worker need. */
    private final WorkerContext context;

    /** Tells the share of an image, in percent. */
    private ToIntFunction<String> byImage = image -> ThrottlePolicy.FULL_SHARE_PERCENT;

    /**
     * Constructor.
     *
     * @param context what calls of the worker need
     */
    RunShareUpdater(WorkerContext context) {
        this.context = context;
    }

    /**
     * Sets the shares.
     *
     * @param shares tells the share of an image, in percent
     */
    void setShares(ToIntFunction<String> shares) {
        byImage = shares;
    }

    /**
     * Tells the worker the share of a run, if it works, is best-effort and has another share.
     *
     * @param run the run
     * @param then what happens after the answer, since a run takes one call at a time
     */
    void apply(LocalRun run, Runnable then) {
        if (run.getOrder() == null) {
            return;
        }
        int wanted = byImage.applyAsInt(run.getOrder().image());
        boolean changes =
                run.getPhase() == LocalRun.Phase.RUNNING
                        && run.getOrder().bestEffort()
                        && run.getShare() != wanted
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
                                wanted,
                                context.fence().get());
        context.whenAnswered(
                "throttle",
                answer,
                result -> {
                    run.setCallInProgress(false);
                    if (result.kind() == CallResult.Kind.DONE) {
                        run.setShare(wanted);
                    }
                    then.run();
                });
    }
}
