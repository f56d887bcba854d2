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
import org.standlink.policy.HarmTable;

/**
 * Decides how much best-effort runs may work beside serving ones, image by image: at once less when
 * the tail of a serving image that they are believed to harm is near its target, slowly more when
 * it is well below. If a tail stays over its target all the same, all best-effort runs stand still.
 *
 * <p>{@code ThrottlePolicy} is mutable and not thread-safe.
 */
final class ThrottlePolicy {

    /** The full share, in percent. */
    static final int FULL = 100;

    /** The smallest share beside a tail that is too long, in percent. */
    private static final int LEAST = 5;

    /** The first share of an image beside one that it is believed to harm, in percent. */
    private static final int FIRST_HARMFUL = 15;

    /**
     * The first share of an image beside one of which it is not known whether it harms it, in
     * percent: its tail shows it within half a second, and users are served for the whole of it.
     */
    private static final int FIRST_UNKNOWN = 50;

    /** The share of its target above which a tail is too long. */
    private static final double HIGH = 0.9;

    /** The share of its target below which a tail leaves room. */
    private static final double LOW = 0.7;

    /** The share of its target above which a tail counts as over it; figures are rough. */
    private static final double OVER = 0.97;

    /** How long a tail may be over its target before suspects stand still, in milliseconds. */
    private static final long SUSPECTS_MILLIS = 1200;

    /**
     * How long a tail may be over its target before all best-effort runs stand still, in
     * milliseconds; the operators bear 4,000, and figures lag by half a second.
     */
    private static final long ALL_MILLIS = 2200;

    /** By what a share is multiplied when a tail is too long. */
    private static final double LESS = 0.4;

    /** What is added to a share when a tail leaves room, in percent. */
    private static final int MORE = 25;

    /** The same for an image that is believed to harm. */
    private static final int MORE_HARMFUL = 8;

    /**
     * The share up to which one is raised a little also beside a tail between the two, in percent:
     * such a tail is not the doing of an image that hardly works.
     */
    private static final int SMALL = 30;

    /** What is added then, in percent. */
    private static final int MORE_SMALL = 5;

    /** The beliefs. */
    private final HarmTable harm;

    /** The share of each best-effort image. */
    private final Map<String, Integer> shares = new HashMap<>();

    /** Since when the tail of each serving image has been over its target. */
    private final Map<String, Long> overSince = new HashMap<>();

    /** The serving images there. */
    private Set<String> serving = new HashSet<>();

    /**
     * Constructor.
     *
     * @param harm the beliefs
     */
    ThrottlePolicy(HarmTable harm) {
        this.harm = harm;
    }

    /**
     * Decides on the shares after new figures.
     *
     * @param tails the worst tail of each serving image, as a share of its target
     * @param bestEffort the best-effort images there
     * @param now the time, in milliseconds
     */
    void decide(Map<String, Double> tails, Set<String> bestEffort, long now) {
        serving = new HashSet<>(tails.keySet());
        noteOver(tails, now);
        shares.keySet().retainAll(bestEffort);
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
            int share = next(getShare(image), worst, harmOf(image));
            shares.put(image, isToStandStill(image, now) ? 0 : share);
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
        if (belief >= HarmTable.HARMFUL) {
            return FIRST_HARMFUL;
        }
        return belief >= HarmTable.HARMLESS ? FIRST_UNKNOWN : FULL;
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
        return harm.get(servingImage, image) >= HarmTable.HARMLESS;
    }

    private boolean isAnySuspect(String servingImage, Set<String> bestEffort) {
        return bestEffort.stream().anyMatch(image -> isSuspect(servingImage, image));
    }

    private double harmOf(String image) {
        return serving.stream().mapToDouble(one -> harm.get(one, image)).max().orElse(0);
    }

    private static int next(int share, double worst, double harmful) {
        if (worst > HIGH) {
            return Math.max(LEAST, (int) (share * LESS));
        }
        if (worst < LOW) {
            int more = harmful >= HarmTable.HARMFUL ? MORE_HARMFUL : MORE;
            return Math.min(FULL, share + more);
        }
        return share < SMALL ? share + MORE_SMALL : share;
    }
}
