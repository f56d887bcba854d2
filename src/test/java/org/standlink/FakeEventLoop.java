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
package org.standlink;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A single-threaded event loop with timers, which runs tasks in the order of their due times when a
 * test advances the clock.
 */
public final class FakeEventLoop extends AbstractExecutorService
        implements ScheduledExecutorService {

    private final FakeClock clock;
    private final List<ScheduledTask> pending = new ArrayList<>();
    private long nextOrder;

    public FakeEventLoop(FakeClock clock) {
        this.clock = clock;
    }

    /** Advances the clock in steps of one millisecond and runs the tasks that become due. */
    public void advance(long millis) {
        long end = clock.nowMillis() + millis;
        runDue();
        while (clock.nowMillis() < end) {
            clock.advance(1);
            runDue();
        }
    }

    /** Runs the tasks that are due, including those that they submit for the present time. */
    public void runDue() {
        while (true) {
            ScheduledTask next =
                    pending.stream()
                            .filter(task -> task.due <= clock.nowMillis())
                            .min(
                                    Comparator.comparingLong((ScheduledTask task) -> task.due)
                                            .thenComparingLong(task -> task.order))
                            .orElse(null);
            if (next == null) {
                return;
            }
            pending.remove(next);
            next.command.run();
            if (next.period > 0 && !next.cancelled) {
                next.due = clock.nowMillis() + next.period;
                pending.add(next);
            }
        }
    }

    /** Gets the time at which the next task is due; {@code Long.MAX_VALUE} if none is pending. */
    public long getNextDueMillis() {
        return pending.stream().mapToLong(task -> task.due).min().orElse(Long.MAX_VALUE);
    }

    @Override
    public void execute(Runnable command) {
        add(command, 0, 0);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return add(command, unit.toMillis(delay), 0);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable command, long delay, long period, TimeUnit unit) {
        return add(command, unit.toMillis(delay), unit.toMillis(period));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable command, long delay, long period, TimeUnit unit) {
        return add(command, unit.toMillis(delay), unit.toMillis(period));
    }

    @Override
    public void shutdown() {
        pending.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        pending.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private ScheduledTask add(Runnable command, long delay, long period) {
        ScheduledTask task =
                new ScheduledTask(command, clock.nowMillis() + delay, period, nextOrder++);
        pending.add(task);
        return task;
    }

    /** A scheduled task. */
    private final class ScheduledTask implements ScheduledFuture<Object> {

        private final Runnable command;
        private final long period;
        private final long order;
        private long due;
        private boolean cancelled;

        ScheduledTask(Runnable command, long due, long period, long order) {
            this.command = command;
            this.due = due;
            this.period = period;
            this.order = order;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(due - clock.nowMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
        }

        @Override
        public boolean cancel(boolean interrupt) {
            cancelled = true;
            return pending.remove(this);
        }

        @Override
        public boolean isCancelled() {
            return cancelled;
        }

        @Override
        public boolean isDone() {
            return !pending.contains(this);
        }

        @Override
        public Object get() {
            return null;
        }

        @Override
        public Object get(long timeout, TimeUnit unit) {
            return null;
        }
    }
}
