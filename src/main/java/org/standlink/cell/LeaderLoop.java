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

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.standlink.process.Guarded;
import org.standlink.process.WorkFailures;

/**
 * Runs all work of a leader on its loop, and ends the leader if any of it throws.
 *
 * <p>What a leader believes after a throw may be changed by half: records that were taken to be
 * kept are gone, while what waits for them would still be told. So it does nothing more, and
 * another one reads the state anew. That costs callers some hundred milliseconds; going on costs
 * them jobs that are lost or done twice.
 *
 * <p>{@code LeaderLoop} is thread-safe.
 */
final class LeaderLoop implements Executor {

    /** The name of the work in the log. */
    private static final String NAME = "leader";

    /** The thread. */
    private final ScheduledExecutorService loop;

    /** Ends the leader. */
    private final Runnable whenFailed;

    /**
     * Constructor.
     *
     * @param loop the loop, of one thread
     * @param whenFailed ends the leader; called on the loop
     */
    LeaderLoop(ScheduledExecutorService loop, Runnable whenFailed) {
        this.loop = loop;
        this.whenFailed = whenFailed;
    }

    @Override
    public void execute(Runnable work) {
        loop.execute(() -> run(work));
    }

    /**
     * Runs work once, later.
     *
     * @param millis after how long, in milliseconds
     * @param work the work
     */
    void schedule(long millis, Runnable work) {
        loop.schedule(() -> run(work), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs work again and again, the first time at once.
     *
     * @param pauseMillis the pause between two runs, in milliseconds
     * @param work the work
     * @return the series, which can be cancelled
     */
    ScheduledFuture<?> scheduleRepeating(long pauseMillis, Runnable work) {
        return Guarded.repeat(NAME, loop, pauseMillis, () -> run(work));
    }

    /**
     * Does something with the result of a future.
     *
     * @param future the future
     * @param then takes the value or the failure
     * @param <T> the type of the value
     */
    <T> void onCompletion(CompletableFuture<T> future, BiConsumer<? super T, Throwable> then) {
        Guarded.thenIn(future, this, then);
    }

    // -----------------------------------------------------------------------
    private void run(Runnable work) {
        try {
            work.run();
        } catch (Throwable thrown) {
            Guarded.work("leader-end", whenFailed).run();
            WorkFailures.note(NAME, thrown);
        }
    }
}
