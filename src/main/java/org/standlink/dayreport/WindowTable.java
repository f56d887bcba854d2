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
package org.standlink.dayreport;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The sums by queue and by window of the jobs' acceptance.
 *
 * <p>If there are too many windows, their length is doubled, so that the memory is bounded for a
 * log of any duration.
 *
 * <p>{@code WindowTable} is not thread-safe.
 */
final class WindowTable {

    /** The length of a window at first, in milliseconds: bursts of load take 3 to 6 s. */
    static final long INITIAL_WINDOW_MILLIS = 2000;

    /** The maximum number of windows of all queues. The samples of one take 20 kB at most. */
    static final int MAX_WINDOWS = 2000;

    /**
     * The number of durations of each kind that are kept for a window. The 90% quantile of a sample
     * of this size is off by 1.3 percentiles (standard error).
     */
    static final int MAX_WINDOW_DURATIONS = 512;

    /**
     * The number of durations of each kind that are kept for all jobs of a queue: the quantiles of
     * a run of 90 s, which has about 700, are exact. The samples of a queue take 400 kB at most.
     */
    private static final int MAX_QUEUE_DURATIONS = 10_000;

    /** The maximum number of queues; the jobs of further queues are counted together. */
    static final int MAX_QUEUES = 100;

    /** The name of the queue of jobs whose queue is not in the log. */
    static final String UNKNOWN_QUEUE = "(not in the log)";

    private static final String OTHER_QUEUES = "(other queues)";

    private final SortedMap<String, QueueSums> queues = new TreeMap<>();

    private long windowMillis = INITIAL_WINDOW_MILLIS;

    private int windowCount;

    /** The sums of a queue: of all its jobs, and by the index of the window. */
    private record QueueSums(JobGroup all, SortedMap<Long, JobGroup> windows) {}

    /**
     * Adds a job.
     *
     * @param job the job
     */
    void add(JobSummary job) {
        String queue = job.queue().isEmpty() ? UNKNOWN_QUEUE : job.queue();
        if (!queues.containsKey(queue) && queues.size() >= MAX_QUEUES) {
            queue = OTHER_QUEUES;
        }
        QueueSums sums =
                queues.computeIfAbsent(
                        queue,
                        name -> new QueueSums(new JobGroup(MAX_QUEUE_DURATIONS), new TreeMap<>()));
        sums.all().add(job);
        long index = Math.floorDiv(job.receivedAt(), windowMillis);
        if (!sums.windows().containsKey(index)) {
            sums.windows().put(index, new JobGroup(MAX_WINDOW_DURATIONS));
            windowCount++;
        }
        sums.windows().get(index).add(job);
        while (windowCount > MAX_WINDOWS) {
            doubleWindows();
        }
    }

    private void doubleWindows() {
        windowMillis *= 2;
        windowCount = 0;
        for (QueueSums sums : queues.values()) {
            SortedMap<Long, JobGroup> former = new TreeMap<>(sums.windows());
            sums.windows().clear();
            former.forEach(
                    (index, group) ->
                            sums.windows()
                                    .computeIfAbsent(
                                            Math.floorDiv(index, 2L),
                                            merged -> new JobGroup(MAX_WINDOW_DURATIONS))
                                    .addAll(group));
            windowCount += sums.windows().size();
        }
    }

    // -----------------------------------------------------------------------
    /** Lists the queues, in order of their names. */
    Iterable<String> getQueues() {
        return queues.keySet();
    }

    /**
     * Gets the sums of a queue.
     *
     * @param queue the queue
     * @return the sums, empty if the queue has no jobs
     */
    JobGroup getTotal(String queue) {
        return queues.containsKey(queue) ? queues.get(queue).all() : new JobGroup(0);
    }

    /**
     * Gets the windows of a queue.
     *
     * @param queue the queue, one of {@link #getQueues()}
     * @return the sums by the beginning of the window, in milliseconds
     */
    SortedMap<Long, JobGroup> getWindows(String queue) {
        SortedMap<Long, JobGroup> byStart = new TreeMap<>();
        queues.get(queue)
                .windows()
                .forEach((index, group) -> byStart.put(index * windowMillis, group));
        return byStart;
    }

    /** Gets the length of a window, in milliseconds. */
    long getWindowMillis() {
        return windowMillis;
    }
}
