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
 * What a worker's agent told last of the figures of its runs: tails of serving ones, and which
 * best-effort ones are throttled for them.
 *
 * <p>{@code WorkerMetrics} is mutable and not thread-safe; the leader's loop owns it.
 */
final class WorkerMetrics {

    /** The share of a run that is not throttled, in percent. */
    private static final int FULL_PERCENT = 100;

    /** The share up to which throttled runs count as held back, in percent. */
    private static final int HELD_BACK_PERCENT = 50;

    /** The longest tail of a serving run there, as a share of its target; 0 if none serves. */
    private double worstTail;

    /** The share for which the runs of each throttled image may work there, in percent. */
    private final Map<String, Integer> percents = new HashMap<>();

    /** Since when the runs of each image there have been throttled, on the leader's clock. */
    private final Map<String, Long> throttledSince = new HashMap<>();

    /** When its figures were learned from last, on the leader's clock. */
    private long sampledAt;

    /**
     * Decides whether its figures are new enough to learn from.
     *
     * @param now the time on the leader's clock
     * @param millis the time that figures cover, in milliseconds
     * @return true if they are
     */
    boolean beginSample(long now, long millis) {
        boolean fresh = now - sampledAt >= millis;
        if (fresh) {
            sampledAt = now;
        }
        return fresh;
    }

    /**
     * Takes note of which images are throttled there.
     *
     * @param shares the images whose runs may not work all the time
     * @param now the time on the leader's clock
     */
    void updateThrottled(List<ImageShare> shares, long now) {
        List<String> held =
                shares.stream()
                        .filter(share -> share.percent() <= HELD_BACK_PERCENT)
                        .map(ImageShare::image)
                        .toList();
        percents.clear();
        shares.forEach(share -> percents.put(share.image(), share.percent()));
        throttledSince.keySet().retainAll(held);
        held.forEach(image -> throttledSince.putIfAbsent(image, now));
    }

    /**
     * Checks whether the runs of an image have been held back there for a while.
     *
     * @param image the image
     * @param now the time on the leader's clock
     * @param millis how long a while is, in milliseconds
     * @return true if so
     */
    boolean isThrottled(String image, long now, long millis) {
        Long since = throttledSince.get(image);
        return since != null && now - since >= millis;
    }

    /**
     * Gets the share of time for which the runs of an image may work there.
     *
     * @param image the image
     * @return the share, 0 to 1
     */
    double getRunShare(String image) {
        return percents.getOrDefault(image, FULL_PERCENT) / (double) FULL_PERCENT;
    }

    /**
     * Gets the longest tail of a serving run there.
     *
     * @return as a share of its target; 0 if none serves
     */
    double getMaxTailRatio() {
        return worstTail;
    }

    /**
     * Sets the longest tail of a serving run there.
     *
     * @param share as a share of its target; 0 if none serves
     */
    void setMaxTailRatio(double share) {
        worstTail = share;
    }
}
