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

/** Tests that serving tail latencies are protected with as little throttling as possible. */
public class TestThrottlePolicy {

    private final InterferenceTable interference = new InterferenceTable();
    private final ThrottlePolicy policy = new ThrottlePolicy(interference);

    private long now = 1_000_000;

    private void setEstimate(String serving, String bestEffort, double estimate) {
        interference.putAll(List.of(new InterferenceTable.Entry(serving, bestEffort, estimate)));
    }

    @Test
    public void onlySuspectedImagesAreThrottled() {
        setEstimate("s", "good", 0.05);
        setEstimate("s", "bad", 0.9);
        policy.updateShares(Map.of("s", 0.5), Set.of("good", "bad"), now += 400);
        policy.updateShares(Map.of("s", 2.0), Set.of("good", "bad"), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("good"));
        assertTrue(policy.getShare("bad") < 20);
    }

    /**
     * Simulates a worker on which the tail ratio grows with the share, and whose measurements cover
     * 500 ms.
     */
    private double[] simulate(double ownTail, double slope, int rounds) {
        Deque<Double> window = new ArrayDeque<>(List.of(ownTail, ownTail));
        double exceeded = 0;
        double shares = 0;
        for (int i = 0; i < rounds; i++) {
            double tail = ownTail + slope * policy.getShare("f") / 100;
            window.addLast(tail);
            window.removeFirst();
            double measured = (window.getFirst() + window.getLast()) / 2;
            policy.updateShares(Map.of("s", measured), Set.of("f"), now += 350);
            exceeded += tail > 1 ? 1 : 0;
            shares += policy.getShare("f");
        }
        return new double[] {exceeded / rounds, shares / rounds};
    }

    @Test
    public void sharesStayNearTheMaximumThatTheTailLatencyAllows() {
        for (double slope : new double[] {0.6, 1.0, 2.0, 4.0}) {
            for (double ownTail : new double[] {0.3, 0.4, 0.5}) {
                setEstimate("s", "f", 0.9);
                policy.updateShares(Map.of(), Set.of(), now += 350);
                double[] result = simulate(ownTail, slope, 60);
                double ideal = 100 * Math.min(1, (0.8 - ownTail) / slope);
                String message =
                        ownTail + " " + slope + " over " + result[0] + " share " + result[1];
                assertTrue(result[0] <= 0.05, message);
                assertTrue(result[1] >= 0.75 * ideal, message + " of " + ideal);
            }
        }
    }

    @Test
    public void oneHighTailLatencyLowersAShareOnce() {
        setEstimate("s", "f", 0.05);
        policy.updateShares(Map.of("s", 0.5), Set.of("f"), now += 350);
        policy.updateShares(Map.of("s", 1.2), Set.of("f"), now += 350);
        assertEquals(50, policy.getShare("f"));
        policy.updateShares(Map.of("s", 1.1), Set.of("f"), now += 350);
        assertEquals(50, policy.getShare("f"));
    }

    @Test
    public void allImagesAreThrottledWhenNoneIsSuspected() {
        setEstimate("s", "one", 0.05);
        setEstimate("s", "two", 0.05);
        policy.updateShares(Map.of("s", 0.5), Set.of("one", "two"), now += 400);
        policy.updateShares(Map.of("s", 2.0), Set.of("one", "two"), now += 400);
        assertEquals(30, policy.getShare("one"));
        assertEquals(30, policy.getShare("two"));
    }

    @Test
    public void sharesRecoverOnceTheTailLatencyIsLow() {
        setEstimate("s", "f", 0.05);
        for (int i = 0; i < 3; i++) {
            policy.updateShares(Map.of("s", 9.0), Set.of("f"), now += 400);
        }
        assertEquals(9, policy.getShare("f"));
        for (int i = 0; i < 20; i++) {
            policy.updateShares(Map.of("s", 0.3), Set.of("f"), now += 400);
        }
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("f"));
    }

    @Test
    public void allImagesArePausedWhileATailLatencyStaysOverItsTarget() {
        setEstimate("s", "good", 0.05);
        setEstimate("s", "bad", 0.9);
        for (int i = 0; i < 4; i++) {
            policy.updateShares(Map.of("s", 1.1), Set.of("good", "bad"), now += 400);
        }
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("good"));
        assertEquals(0, policy.getShare("bad"));
        for (int i = 0; i < 3; i++) {
            policy.updateShares(Map.of("s", 1.1), Set.of("good", "bad"), now += 400);
        }
        assertEquals(0, policy.getShare("good"));
        assertEquals(0, policy.getShare("bad"));
        policy.updateShares(Map.of("s", 0.5), Set.of("good", "bad"), now += 400);
        assertTrue(policy.getShare("good") > 0);
    }

    @Test
    public void nothingIsThrottledWithoutServingRuns() {
        policy.updateShares(Map.of(), Set.of("f"), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("f"));
    }

    @Test
    public void anUnknownImageStartsWithHalf() {
        setEstimate("s", "good", 0.05);
        setEstimate("s", "bad", 0.9);
        policy.updateShares(Map.of("s", 0.8), Set.of(), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("good"));
        assertEquals(50, policy.getShare("unknown"));
        assertEquals(15, policy.getShare("bad"));
    }

    @Test
    public void anImageThatReturnsStartsWithItsInitialShare() {
        setEstimate("s", "good", 0.05);
        for (int i = 0; i < 3; i++) {
            policy.updateShares(Map.of("s", 9.0), Set.of("good"), now += 400);
        }
        policy.updateShares(Map.of("s", 0.8), Set.of(), now += 400);
        assertEquals(ThrottlePolicy.FULL_SHARE_PERCENT, policy.getShare("good"));
    }

    @Test
    public void aSmallShareGrowsWhileTheTailLatencyHasAnotherCause() {
        setEstimate("s", "bad", 0.9);
        policy.updateShares(Map.of("s", 1.95), Set.of("bad"), now += 400);
        assertEquals(5, policy.getShare("bad"));
        for (int i = 0; i < 30; i++) {
            policy.updateShares(Map.of("s", 0.8), Set.of("bad"), now += 400);
        }
        assertTrue(policy.getShare("bad") >= 30);
        assertTrue(policy.getShare("bad") < 40);
    }
}
