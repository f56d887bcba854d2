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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.wire.ImageShare;

/**
 * The last reported metrics of a worker's runs: the tail latency of serving runs, and which
 * best-effort images are throttled in their favour.
 *
 * <p>{@code WorkerMetrics} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class WorkerMetrics {

    /** The share of an image that is not throttled, in percent. */
    private static final int FULL_PERCENT = 100;

    /** The share up to which an image counts as throttled, in percent. */
    private static final int MAX_THROTTLED_PERCENT = 50;

    /** The highest tail latency of a serving run, relative to its target; 0 if there is none. */
    private double maxTailRatio;

    /** The share of time for which the runs of each image with a limit may run, in percent. */
    private final Map<String, Integer> sharePercents = new HashMap<>();

    /** Since when each image has been throttled, on the leader's clock. */
    private final Map<String, Long> throttledSince = new HashMap<>();

    /** When interference was learned from the metrics last, on the leader's clock. */
    private long lastSampleAt;

    /**
     * Checks whether the metrics cover a new period to learn from, and begins it.
     *
     * @param now the time on the leader's clock
     * @param millis the period that the metrics cover, in milliseconds
     * @return true if the last period is over
     */
    boolean beginSample(long now, long millis) {
        boolean fresh = now - lastSampleAt >= millis;
        if (fresh) {
            lastSampleAt = now;
        }
        return fresh;
    }

    /**
     * Updates which images are throttled.
     *
     * @param shares the images whose runs may not run all the time
     * @param now the time on the leader's clock
     */
    void updateThrottled(List<ImageShare> shares, long now) {
        List<String> throttled =
                shares.stream()
                        .filter(share -> share.percent() <= MAX_THROTTLED_PERCENT)
                        .map(ImageShare::image)
                        .toList();
        sharePercents.clear();
        shares.forEach(share -> sharePercents.put(share.image(), share.percent()));
        throttledSince.keySet().retainAll(throttled);
        throttled.forEach(image -> throttledSince.putIfAbsent(image, now));
    }

    /**
     * Checks whether the runs of an image have been throttled for some time.
     *
     * @param image the image
     * @param now the time on the leader's clock
     * @param millis the minimum time, in milliseconds
     * @return true if so
     */
    boolean isThrottled(String image, long now, long millis) {
        Long since = throttledSince.get(image);
        return since != null && now - since >= millis;
    }

    /**
     * Gets the share of time for which the runs of an image may run.
     *
     * @param image the image
     * @return the share, 0 to 1
     */
    double getRunShare(String image) {
        return sharePercents.getOrDefault(image, FULL_PERCENT) / (double) FULL_PERCENT;
    }

    /**
     * Gets the highest tail latency of a serving run.
     *
     * @return the tail latency relative to its target; 0 if there is no serving run
     */
    double getMaxTailRatio() {
        return maxTailRatio;
    }

    /**
     * Sets the highest tail latency of a serving run.
     *
     * @param ratio the tail latency relative to its target; 0 if there is no serving run
     */
    void setMaxTailRatio(double ratio) {
        maxTailRatio = ratio;
    }
}
