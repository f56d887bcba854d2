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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.standlink.policy.InterferenceTable;

/**
 * Decides for which share of time best-effort runs may run beside serving ones, image by image. A
 * share is lowered at once when the tail latency of a serving image that the image is expected to
 * interfere with is near its target, and raised slowly when it is well below. If a tail latency
 * stays above its target nevertheless, all best-effort runs are paused.
 *
 * <p>Tail latencies are given as ratios to their targets.
 *
 * <p>{@code ThrottlePolicy} is mutable and not thread-safe.
 */
final class ThrottlePolicy {

    /** The full share, in percent. */
    static final int FULL_SHARE_PERCENT = 100;

    /** The minimum share beside a high tail latency, in percent. */
    private static final int MIN_SHARE_PERCENT = 5;

    /**
     * The initial share of an image beside one for which high interference is expected, in percent.
     */
    private static final int INITIAL_HIGH_INTERFERENCE_PERCENT = 15;

    /**
     * The initial share of an image beside one for which the interference is not known, in percent:
     * the tail latency shows it within half a second, and users are served throughout.
     */
    private static final int INITIAL_UNKNOWN_PERCENT = 50;

    /**
     * The tail ratio towards which shares are adjusted. Measurements are inaccurate by about a
     * tenth, and a serving run above its target for a second costs its users as much as some
     * core-seconds of best-effort work yield.
     */
    private static final double TARGET_TAIL_RATIO = 0.8;

    /** The tail ratio above which shares are lowered. */
    private static final double HIGH_TAIL_RATIO = 0.88;

    /** The tail ratio below which shares are raised. */
    private static final double LOW_TAIL_RATIO = 0.72;

    /**
     * The tail ratio attributed to the own load of a serving run. The excess is assumed to grow
     * with the shares; a wrong value here changes how fast the shares converge, not the tail ratio
     * at which they do.
     */
    private static final double OWN_LOAD_TAIL_RATIO = 0.4;

    /** The largest factor by which a share is multiplied at once. */
    private static final double MAX_CHANGE_FACTOR = 1.5;

    /** The smallest factor by which a share is multiplied at once. */
    private static final double MIN_CHANGE_FACTOR = 0.3;

    /**
     * How long a share stays unchanged after it was lowered, in milliseconds. A worker takes 100 ms
     * to apply a share and measurements cover 500 ms, so earlier ones still show the previous tail
     * latency and would lower the share again for the same cause.
     */
    private static final long SETTLING_MILLIS = 600;

    /**
     * The tail ratio above which the target counts as exceeded; below 1, as measurements are
     * inaccurate.
     */
    private static final double EXCEEDED_TAIL_RATIO = 0.97;

    /**
     * How long a tail latency may exceed its target before suspected images are paused, in
     * milliseconds.
     */
    private static final long PAUSE_SUSPECTS_AFTER_MILLIS = 1200;

    /**
     * How long a tail latency may exceed its target before all best-effort images are paused, in
     * milliseconds: it may exceed its target for 4,000 ms, and measurements lag by half a second.
     */
    private static final long PAUSE_ALL_AFTER_MILLIS = 2200;

    /**
     * Shares below this value are raised slightly also while the tail ratio is between low and
     * high, in percent: an image that hardly runs is not the cause of such a tail latency.
     */
    private static final int SMALL_SHARE_PERCENT = 30;

    /** The minimum increase when a share is raised, in percentage points. */
    private static final int MIN_INCREASE_PERCENT = 2;

    /**
     * The increase of a small share while the tail ratio is between low and high, in percentage
     * points.
     */
    private static final int SMALL_SHARE_INCREASE_PERCENT = 1;

    /** The interference estimates. */
    private final InterferenceTable interference;

    /** The share of each best-effort image, in percent. */
    private final Map<String, Integer> shares = new HashMap<>();

    /** When the share of each best-effort image was last lowered, in milliseconds. */
    private final Map<String, Long> loweredAt = new HashMap<>();

    /**
     * Since when the tail latency of each serving image has exceeded its target, in milliseconds.
     */
    private final Map<String, Long> exceededSince = new HashMap<>();

    /** The serving images on the worker. */
    private Set<String> servingImages = new HashSet<>();

    ThrottlePolicy(InterferenceTable interference) {
        this.interference = interference;
    }

    /**
     * Updates the shares from new measurements.
     *
     * @param tailRatios the highest tail ratio of each serving image
     * @param bestEffort the best-effort images on the worker
     * @param now the time, in milliseconds
     */
    void updateShares(Map<String, Double> tailRatios, Set<String> bestEffort, long now) {
        servingImages = new HashSet<>(tailRatios.keySet());
        updateExceeded(tailRatios, now);
        shares.keySet().retainAll(bestEffort);
        loweredAt.keySet().retainAll(bestEffort);
        boolean allExplained =
                tailRatios.entrySet().stream()
                        .filter(ratio -> ratio.getValue() > HIGH_TAIL_RATIO)
                        .allMatch(ratio -> isAnySuspected(ratio.getKey(), bestEffort));
        for (String image : bestEffort) {
            double maxTailRatio = 0;
            for (Map.Entry<String, Double> ratio : tailRatios.entrySet()) {
                if (!allExplained || isSuspected(ratio.getKey(), image)) {
                    maxTailRatio = Math.max(maxTailRatio, ratio.getValue());
                }
            }
            shares.put(image, mustPause(image, now) ? 0 : nextShare(image, maxTailRatio, now));
        }
    }

    /**
     * Gets the share of time for which runs of an image may run.
     *
     * @param image the best-effort image
     * @return the share, in percent
     */
    int getShare(String image) {
        Integer share = shares.get(image);
        if (share != null) {
            return share;
        }
        double estimate = getMaxInterference(image);
        if (estimate >= InterferenceTable.HIGH_INTERFERENCE) {
            return INITIAL_HIGH_INTERFERENCE_PERCENT;
        }
        return estimate >= InterferenceTable.LOW_INTERFERENCE
                ? INITIAL_UNKNOWN_PERCENT
                : FULL_SHARE_PERCENT;
    }

    // -----------------------------------------------------------------------
    private void updateExceeded(Map<String, Double> tailRatios, long now) {
        exceededSince.keySet().retainAll(tailRatios.keySet());
        tailRatios.forEach(
                (image, ratio) -> {
                    if (ratio <= EXCEEDED_TAIL_RATIO) {
                        exceededSince.remove(image);
                    } else {
                        exceededSince.putIfAbsent(image, now);
                    }
                });
    }

    private boolean mustPause(String image, long now) {
        for (Map.Entry<String, Long> exceeded : exceededSince.entrySet()) {
            long millis = now - exceeded.getValue();
            boolean suspected = isSuspected(exceeded.getKey(), image);
            if (millis >= PAUSE_ALL_AFTER_MILLIS
                    || suspected && millis >= PAUSE_SUSPECTS_AFTER_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private boolean isSuspected(String servingImage, String image) {
        return interference.get(servingImage, image) >= InterferenceTable.LOW_INTERFERENCE;
    }

    private boolean isAnySuspected(String servingImage, Set<String> bestEffort) {
        return bestEffort.stream().anyMatch(image -> isSuspected(servingImage, image));
    }

    private double getMaxInterference(String image) {
        return servingImages.stream()
                .mapToDouble(servingImage -> interference.get(servingImage, image))
                .max()
                .orElse(0);
    }

    private int nextShare(String image, double maxTailRatio, long now) {
        int share = getShare(image);
        if (maxTailRatio > HIGH_TAIL_RATIO) {
            Long lowered = loweredAt.get(image);
            if (lowered != null && now - lowered < SETTLING_MILLIS) {
                return share;
            }
            loweredAt.put(image, now);
            return Math.max(MIN_SHARE_PERCENT, (int) (share * getChangeFactor(maxTailRatio)));
        }
        if (maxTailRatio < LOW_TAIL_RATIO) {
            int raised = (int) (share * getChangeFactor(maxTailRatio));
            return Math.min(FULL_SHARE_PERCENT, Math.max(share + MIN_INCREASE_PERCENT, raised));
        }
        return share < SMALL_SHARE_PERCENT ? share + SMALL_SHARE_INCREASE_PERCENT : share;
    }

    /**
     * Predicts by which factor a share must change for the tail ratio to reach its target value.
     */
    private static double getChangeFactor(double maxTailRatio) {
        double excess = Math.max(maxTailRatio - OWN_LOAD_TAIL_RATIO, 0);
        double factor =
                excess == 0
                        ? MAX_CHANGE_FACTOR
                        : (TARGET_TAIL_RATIO - OWN_LOAD_TAIL_RATIO) / excess;
        return Math.max(MIN_CHANGE_FACTOR, Math.min(MAX_CHANGE_FACTOR, factor));
    }
}
