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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.standlink.policy.InterferenceTable;

/** Tests that serving tails are protected with as little pacing as that takes. */
public class TestThrottlePolicy {

    private final InterferenceTable harm = new InterferenceTable();
    private final ThrottlePolicy throttling = new ThrottlePolicy(harm);

    private long now = 1_000_000;

    private void believe(String serving, String bestEffort, double belief) {
        harm.putAll(List.of(new InterferenceTable.Entry(serving, bestEffort, belief)));
    }

    @Test
    public void onlySuspectedImagesAreThrottled() {
        believe("s", "good", 0.05);
        believe("s", "bad", 0.9);
        throttling.updateShares(Map.of("s", 0.5), Set.of("good", "bad"), now += 400);
        throttling.updateShares(Map.of("s", 2.0), Set.of("good", "bad"), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("good"));
        assertTrue(throttling.getShare("bad") < 20);
    }

    /** A worker on which the tail grows with the share, and whose figures cover 500 ms. */
    private double[] play(double own, double slope, int rounds) {
        Deque<Double> covered = new ArrayDeque<>(List.of(own, own));
        double over = 0;
        double shares = 0;
        for (int i = 0; i < rounds; i++) {
            double tail = own + slope * throttling.getShare("f") / 100;
            covered.addLast(tail);
            covered.removeFirst();
            double figure = (covered.getFirst() + covered.getLast()) / 2;
            throttling.updateShares(Map.of("s", figure), Set.of("f"), now += 350);
            over += tail > 1 ? 1 : 0;
            shares += throttling.getShare("f");
        }
        return new double[] {over / rounds, shares / rounds};
    }

    @Test
    public void sharesStayNearTheMaximumThatTheTailLatencyAllows() {
        for (double slope : new double[] {0.6, 1.0, 2.0, 4.0}) {
            for (double own : new double[] {0.3, 0.4, 0.5}) {
                believe("s", "f", 0.9);
                throttling.updateShares(Map.of(), Set.of(), now += 350);
                double[] seen = play(own, slope, 60);
                double ideal = 100 * Math.min(1, (0.8 - own) / slope);
                String where = own + " " + slope + " over " + seen[0] + " share " + seen[1];
                assertTrue(seen[0] <= 0.05, where);
                assertTrue(seen[1] >= 0.75 * ideal, where + " of " + ideal);
            }
        }
    }

    @Test
    public void oneHighTailLatencyLowersAShareOnce() {
        believe("s", "f", 0.05);
        throttling.updateShares(Map.of("s", 0.5), Set.of("f"), now += 350);
        throttling.updateShares(Map.of("s", 1.2), Set.of("f"), now += 350);
        assertEquals(50, throttling.getShare("f"));
        throttling.updateShares(Map.of("s", 1.1), Set.of("f"), now += 350);
        assertEquals(50, throttling.getShare("f"));
    }

    @Test
    public void allImagesAreThrottledWhenNoneIsSuspected() {
        believe("s", "one", 0.05);
        believe("s", "two", 0.05);
        throttling.updateShares(Map.of("s", 0.5), Set.of("one", "two"), now += 400);
        throttling.updateShares(Map.of("s", 2.0), Set.of("one", "two"), now += 400);
        assertEquals(30, throttling.getShare("one"));
        assertEquals(30, throttling.getShare("two"));
    }

    @Test
    public void sharesRecoverOnceTheTailLatencyIsLow() {
        believe("s", "f", 0.05);
        for (int i = 0; i < 3; i++) {
            throttling.updateShares(Map.of("s", 9.0), Set.of("f"), now += 400);
        }
        assertEquals(9, throttling.getShare("f"));
        for (int i = 0; i < 20; i++) {
            throttling.updateShares(Map.of("s", 0.3), Set.of("f"), now += 400);
        }
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("f"));
    }

    @Test
    public void allImagesArePausedWhileATailLatencyStaysOverItsTarget() {
        believe("s", "good", 0.05);
        believe("s", "bad", 0.9);
        for (int i = 0; i < 4; i++) {
            throttling.updateShares(Map.of("s", 1.1), Set.of("good", "bad"), now += 400);
        }
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("good"));
        assertEquals(0, throttling.getShare("bad"));
        for (int i = 0; i < 3; i++) {
            throttling.updateShares(Map.of("s", 1.1), Set.of("good", "bad"), now += 400);
        }
        assertEquals(0, throttling.getShare("good"));
        assertEquals(0, throttling.getShare("bad"));
        throttling.updateShares(Map.of("s", 0.5), Set.of("good", "bad"), now += 400);
        assertTrue(throttling.getShare("good") > 0);
    }

    @Test
    public void nothingIsThrottledWithoutServingRuns() {
        throttling.updateShares(Map.of(), Set.of("f"), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("f"));
    }

    @Test
    public void anUnknownImageStartsWithHalf() {
        believe("s", "good", 0.05);
        believe("s", "bad", 0.9);
        throttling.updateShares(Map.of("s", 0.8), Set.of(), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("good"));
        assertEquals(50, throttling.getShare("unknown"));
        assertEquals(15, throttling.getShare("bad"));
    }

    @Test
    public void anImageThatReturnsStartsWithItsInitialShare() {
        believe("s", "good", 0.05);
        for (int i = 0; i < 3; i++) {
            throttling.updateShares(Map.of("s", 9.0), Set.of("good"), now += 400);
        }
        throttling.updateShares(Map.of("s", 0.8), Set.of(), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, throttling.getShare("good"));
    }

    @Test
    public void aSmallShareGrowsWhileTheTailLatencyHasAnotherCause() {
        believe("s", "bad", 0.9);
        throttling.updateShares(Map.of("s", 1.95), Set.of("bad"), now += 400);
        assertEquals(5, throttling.getShare("bad"));
        for (int i = 0; i < 30; i++) {
            throttling.updateShares(Map.of("s", 0.8), Set.of("bad"), now += 400);
        }
        assertTrue(throttling.getShare("bad") >= 30);
        assertTrue(throttling.getShare("bad") < 40);
    }
}
