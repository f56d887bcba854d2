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
package org.standlink.agent;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;

/**
 * Lets no more requests through to the upstream than it has slots; some wait in a bounded queue.
 *
 * <p>{@code UpstreamSlots} is thread-safe.
 */
final class UpstreamSlots {

    /** Whoever waits for a slot. */
    interface Waiter {

        /** Called once a slot is taken for it; {@link UpstreamSlots#release} must follow. */
        void slotAcquired();

        /**
         * Called when it is given up before there was a slot.
         *
         * @param reason why
         */
        void rejected(String reason);
    }

    /** A waiter with its time. */
    private record Waiting(Waiter waiter, long untilMillis) {}

    /** The waiters in order. */
    private final Queue<Waiting> queue = new ArrayDeque<>();

    /** Slots taken. */
    private int running;

    /**
     * Enters at once, waits, or is refused.
     *
     * @param waiter who wants to enter
     * @param slots the slots of the upstream
     * @param queueLength how many may wait
     * @param untilMillis when its time is up, in milliseconds
     * @return false if refused, because the queue is full
     */
    boolean tryAcquire(Waiter waiter, int slots, int queueLength, long untilMillis) {
        synchronized (this) {
            if (running >= slots) {
                return queue.size() < queueLength && queue.add(new Waiting(waiter, untilMillis));
            }
            running++;
        }
        waiter.slotAcquired();
        return true;
    }

    /**
     * Gives a slot back and lets the next waiter in.
     *
     * @param nowMillis the time, in milliseconds
     */
    void release(long nowMillis) {
        rejectExpired(nowMillis);
        Waiting next;
        synchronized (this) {
            next = queue.poll();
            if (next == null) {
                running--;
                return;
            }
        }
        next.waiter().slotAcquired();
    }

    /**
     * Gives up the waiters whose time is up.
     *
     * @param nowMillis the time, in milliseconds
     */
    void rejectExpired(long nowMillis) {
        Queue<Waiting> late = new ArrayDeque<>();
        synchronized (this) {
            for (Iterator<Waiting> waiting = queue.iterator(); waiting.hasNext(); ) {
                Waiting one = waiting.next();
                if (nowMillis >= one.untilMillis()) {
                    waiting.remove();
                    late.add(one);
                }
            }
        }
        late.forEach(one -> one.waiter().rejected("no slot in time"));
    }

    /**
     * Gives up all waiters.
     *
     * @param reason why
     */
    void rejectAll(String reason) {
        Queue<Waiting> all;
        synchronized (this) {
            all = new ArrayDeque<>(queue);
            queue.clear();
        }
        all.forEach(one -> one.waiter().rejected(reason));
    }

    /**
     * Gets how many requests run or wait.
     *
     * @return the number
     */
    synchronized int getOutstanding() {
        return running + queue.size();
    }

    /**
     * Gets how many requests run.
     *
     * @return the number
     */
    synchronized int getRunning() {
        return running;
    }
}
