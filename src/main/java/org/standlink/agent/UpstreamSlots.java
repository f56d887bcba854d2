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
 * Limits the requests running at the upstream to its slots, with a bounded queue of waiting
 * requests.
 *
 * <p>{@code UpstreamSlots} is thread-safe.
 */
final class UpstreamSlots {

    /** A request that needs a slot. */
    interface Waiter {

        /** Called when a slot has been acquired; {@link UpstreamSlots#release} must follow. */
        void slotAcquired();

        /**
         * Called when the waiter was removed from the queue without a slot.
         *
         * @param reason the reason
         */
        void rejected(String reason);
    }

    private record QueuedWaiter(Waiter waiter, long deadlineMillis) {}

    /** The waiters in order of arrival. */
    private final Queue<QueuedWaiter> queue = new ArrayDeque<>();

    /** The number of slots in use. */
    private int running;

    /**
     * Acquires a slot, or queues the waiter if all slots are in use.
     *
     * @param waiter the waiter
     * @param slots the number of slots of the upstream
     * @param queueLength the maximum number of waiters in the queue
     * @param deadlineMillis when the waiter is rejected, in milliseconds
     * @return false if the queue is full
     */
    boolean tryAcquire(Waiter waiter, int slots, int queueLength, long deadlineMillis) {
        synchronized (this) {
            if (running >= slots) {
                return queue.size() < queueLength
                        && queue.add(new QueuedWaiter(waiter, deadlineMillis));
            }
            running++;
        }
        waiter.slotAcquired();
        return true;
    }

    /**
     * Releases a slot, and passes it to the next waiter if there is one.
     *
     * @param nowMillis the current time, in milliseconds
     */
    void release(long nowMillis) {
        rejectExpired(nowMillis);
        QueuedWaiter next;
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
     * Rejects the waiters whose deadlines have passed.
     *
     * @param nowMillis the current time, in milliseconds
     */
    void rejectExpired(long nowMillis) {
        Queue<QueuedWaiter> expired = new ArrayDeque<>();
        synchronized (this) {
            for (Iterator<QueuedWaiter> iterator = queue.iterator(); iterator.hasNext(); ) {
                QueuedWaiter queued = iterator.next();
                if (nowMillis >= queued.deadlineMillis()) {
                    iterator.remove();
                    expired.add(queued);
                }
            }
        }
        expired.forEach(queued -> queued.waiter().rejected("no free slot before the deadline"));
    }

    /**
     * Rejects all waiters.
     *
     * @param reason the reason
     */
    void rejectAll(String reason) {
        Queue<QueuedWaiter> rejected;
        synchronized (this) {
            rejected = new ArrayDeque<>(queue);
            queue.clear();
        }
        rejected.forEach(queued -> queued.waiter().rejected(reason));
    }

    /**
     * Gets the number of requests that are running or waiting.
     *
     * @return the number of requests
     */
    synchronized int getOutstanding() {
        return running + queue.size();
    }

    /**
     * Gets the number of requests that are running.
     *
     * @return the number of requests
     */
    synchronized int getRunning() {
        return running;
    }
}
