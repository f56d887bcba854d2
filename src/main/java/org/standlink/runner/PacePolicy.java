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

/**
 * Decides how much filling runs may work beside serving ones: at once less when a tail is near its
 * target, slowly more when it is well below.
 *
 * <p>{@code PacePolicy} is mutable and not thread-safe.
 */
final class PacePolicy {

    /** The full share, in percent. */
    static final int FULL = 100;

    /** The smallest share, in percent; nothing stands still for good. */
    private static final int LEAST = 5;

    /** The share of its target above which a tail is too long. */
    private static final double HIGH = 0.92;

    /** The share of its target below which a tail leaves room. */
    private static final double LOW = 0.75;

    /** By what the share is multiplied when a tail is too long. */
    private static final double LESS = 0.6;

    /** What is added to the share when a tail leaves room, in percent. */
    private static final int MORE = 12;

    /** The share. */
    private int share = FULL;

    /**
     * Decides on the share after new figures.
     *
     * @param worst the worst tail as a share of its target, 0 if nothing serves
     */
    void decide(double worst) {
        if (worst > HIGH) {
            share = Math.max(LEAST, (int) (share * LESS));
        } else if (worst < LOW) {
            share = Math.min(FULL, share + MORE);
        }
    }

    /**
     * Gets the share for which filling runs may work.
     *
     * @return the share, in percent
     */
    int getShare() {
        return share;
    }
}
