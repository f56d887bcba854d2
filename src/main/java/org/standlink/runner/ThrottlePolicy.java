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
 * Decides how much best-effort runs may work beside serving ones, image by image: at once less when
 * the tail of a serving image that they are believed to harm is near its target, slowly more when
 * it is well below. If a tail stays over its target all the same, all best-effort runs stand still.
 *
 * <p>{@code ThrottlePolicy} is mutable and not thread-safe.
 */
final class ThrottlePolicy {

    /** The full share, in percent. */
    static final int FULL_SHARE_PERCENT = 100;

    /** The smallest share beside a tail that is too long, in percent. */
    private static final int LEAST = 5;

    /** The first share of an image beside one that it is believed to harm, in percent. */
    private static final int FIRST_HARMFUL = 15;

    /**
     * The first share of an image beside one of which it is not known whether it harms it, in
     * percent: its tail shows it within half a second, and users are served for the whole of it.
     */
    private static final int FIRST_UNKNOWN = 50;

    /**
     * The tail to which shares are led, as a share of its target; figures are rough by about a
     * tenth, and a serving run that is over its target for a second costs its users as much as some
     * core-seconds of best-effort work bring.
     */
    private static final double AIM = 0.8;

    /** The tail above which shares are lowered, as a share of its target. */
    private static final double HIGH = 0.88;

    /** The tail below which shares are raised, as a share of its target. */
    private static final double LOW = 0.72;

    /**
     * The tail that a serving run is taken to have by its own load, as a share of its target. What
     * is more is taken to grow with the shares; a wrong value here changes how fast they come to
     * where the tail is right, not where that is.
     */
    private static final double OWN = 0.4;

    /** The most by which a share is raised at once, as a factor. */
    private static final double MOST_RAISE = 1.5;

    /** The most by which a share is lowered at once, as a factor. */
    private static final double MOST_CUT = 0.3;

    /**
     * How long after it was lowered a share stays as it is, in milliseconds: a worker takes 100 to
     * follow and figures cover 500, so that earlier ones still show the tail from before and would
     * lower it for the same cause again.
     */
    private static final long SETTLE_MILLIS = 600;

    /** The share of its target above which a tail counts as over it; figures are rough. */
    private static final double OVER = 0.97;

    /** How long a tail may be over its target before suspects stand still, in milliseconds. */
    private static final long SUSPECTS_MILLIS = 1200;

    /**
     * How long a tail may be over its target before all best-effort runs stand still, in
     * milliseconds: a tail may stay over its target for 4,000, and figures lag by half a second.
     */
    private static final long ALL_MILLIS = 2200;

    /**
     * The share up to which one is raised a little also beside a tail between the two, in percent:
     * such a tail is not the doing of an image that hardly works.
     */
    private static final int SMALL = 30;

    /** The least that is added when a share is raised, in percent. */
    private static final int LEAST_RAISE = 2;

    /** What is added to a small share beside a tail between the two, in percent. */
    private static final int SMALL_RAISE = 1;

    /** The beliefs. */
    private final InterferenceTable harm;

    /** The share of each best-effort image. */
    private final Map<String, Integer> shares = new HashMap<>();

    /** When the share of each best-effort image was lowered last. */
    private final Map<String, Long> loweredAt = new HashMap<>();

    /** Since when the tail of each serving image has been over its target. */
    private final Map<String, Long> overSince = new HashMap<>();

    /** The serving images there. */
    private Set<String> serving = new HashSet<>();

    /**
     * Constructor.
     *
     * @param harm the beliefs
     */
    ThrottlePolicy(InterferenceTable harm) {
        this.harm = harm;
    }

    /**
     * Decides on the shares after new figures.
     *
     * @param tails the worst tail of each serving image, as a share of its target
     * @param bestEffort the best-effort images there
     * @param now the time, in milliseconds
     */
    void updateShares(Map<String, Double> tails, Set<String> bestEffort, long now) {
        serving = new HashSet<>(tails.keySet());
        noteOver(tails, now);
        shares.keySet().retainAll(bestEffort);
        loweredAt.keySet().retainAll(bestEffort);
        boolean blamed =
                tails.entrySet().stream()
                        .filter(tail -> tail.getValue() > HIGH)
                        .allMatch(tail -> isAnySuspect(tail.getKey(), bestEffort));
        for (String image : bestEffort) {
            double worst = 0;
            for (Map.Entry<String, Double> tail : tails.entrySet()) {
                if (!blamed || isSuspect(tail.getKey(), image)) {
                    worst = Math.max(worst, tail.getValue());
                }
            }
            shares.put(image, isToStandStill(image, now) ? 0 : next(image, worst, now));
        }
    }

    /**
     * Gets the share for which runs of an image may work.
     *
     * @param image the best-effort image
     * @return the share, in percent
     */
    int getShare(String image) {
        Integer share = shares.get(image);
        if (share != null) {
            return share;
        }
        double belief = harmOf(image);
        if (belief >= InterferenceTable.HIGH_INTERFERENCE) {
            return FIRST_HARMFUL;
        }
        return belief >= InterferenceTable.LOW_INTERFERENCE ? FIRST_UNKNOWN : FULL_SHARE_PERCENT;
    }

    // -----------------------------------------------------------------------
    private void noteOver(Map<String, Double> tails, long now) {
        overSince.keySet().retainAll(tails.keySet());
        tails.forEach(
                (image, tail) -> {
                    if (tail <= OVER) {
                        overSince.remove(image);
                    } else {
                        overSince.putIfAbsent(image, now);
                    }
                });
    }

    private boolean isToStandStill(String image, long now) {
        for (Map.Entry<String, Long> over : overSince.entrySet()) {
            long millis = now - over.getValue();
            boolean suspect = isSuspect(over.getKey(), image);
            if (millis >= ALL_MILLIS || suspect && millis >= SUSPECTS_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private boolean isSuspect(String servingImage, String image) {
        return harm.get(servingImage, image) >= InterferenceTable.LOW_INTERFERENCE;
    }

    private boolean isAnySuspect(String servingImage, Set<String> bestEffort) {
        return bestEffort.stream().anyMatch(image -> isSuspect(servingImage, image));
    }

    private double harmOf(String image) {
        return serving.stream().mapToDouble(one -> harm.get(one, image)).max().orElse(0);
    }

    private int next(String image, double worst, long now) {
        int share = getShare(image);
        if (worst > HIGH) {
            Long lowered = loweredAt.get(image);
            if (lowered != null && now - lowered < SETTLE_MILLIS) {
                return share;
            }
            loweredAt.put(image, now);
            return Math.max(LEAST, (int) (share * factor(worst)));
        }
        if (worst < LOW) {
            int raised = (int) (share * factor(worst));
            return Math.min(FULL_SHARE_PERCENT, Math.max(share + LEAST_RAISE, raised));
        }
        return share < SMALL ? share + SMALL_RAISE : share;
    }

    /** Predicts by what a share must change for the tail to come to where it should be. */
    private static double factor(double worst) {
        double byOthers = Math.max(worst - OWN, 0);
        double factor = byOthers == 0 ? MOST_RAISE : (AIM - OWN) / byOthers;
        return Math.max(MOST_CUT, Math.min(MOST_RAISE, factor));
    }
}
