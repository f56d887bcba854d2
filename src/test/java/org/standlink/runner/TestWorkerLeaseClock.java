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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests that no worker keeps a run longer than its agent assumes. */
public class TestWorkerLeaseClock {

    private final List<Long> reportedLags = new ArrayList<>();

    @Property(seed = "4489833508711455555")
    void aSlowClockNeverKeepsARunBeyondTheEnd(
            @ForAll @LongRange(max = 10_000) long leaseMillis,
            @ForAll @LongRange(max = 2000) long transitMillis,
            @ForAll @DoubleRange(min = 1.0, max = 1.02) double slowness) {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        // The worker read its clock at time 0; the answer was received after the transit time.
        clock.answerReceived(5000, transitMillis);
        long end = transitMillis + leaseMillis;
        long until = clock.grantUntil(end);
        double killedAt = (until - 5000) * slowness;
        assertTrue(killedAt <= end, () -> "killed at " + killedAt + ", end " + end);
    }

    @Test
    public void aLeaseExpiresOnlyAfterTheLatestEndEverGranted() {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        clock.answerReceived(0, 100);
        clock.grantUntil(6100);
        clock.grantUntil(4000);
        assertFalse(clock.isExpired(6100));
        assertTrue(clock.isExpired(6500));
    }

    @Test
    public void anEndThatHasPassedIsSentAsTheWorkersCurrentTime() {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        clock.answerReceived(700, 100);
        assertEquals(700, clock.grantUntil(50));
    }

    @Test
    public void theLagOfASuspendedAgentsClockIsReported() {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        clock.answerReceived(5000, 100);
        clock.answerReceived(6000, 1120);
        clock.answerReceived(6900, 2020);
        assertEquals(List.of(), reportedLags);
        clock.answerReceived(10_000, 2120);
        assertEquals(1, reportedLags.size());
        assertTrue(
                reportedLags.get(0) >= 3000 && reportedLags.get(0) <= 3050, reportedLags::toString);
        clock.answerReceived(9_900, 2130);
        assertEquals(1, reportedLags.size());
    }

    @Test
    public void lateAnswersAreNotTakenForALagOfTheAgentsClock() {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        for (int i = 0; i < 100; i++) {
            long delay = i % 2 == 0 ? 0 : 400;
            clock.answerReceived(5000 + 500L * i, 100 + 500L * i + delay);
        }
        assertEquals(List.of(), reportedLags);
    }

    @Test
    public void aSlowWorkerClockIsNotTakenForALagOfTheAgentsClock() {
        WorkerLeaseClock clock = new WorkerLeaseClock(0, reportedLags::add);
        for (long now = 0; now < 60_000; now += 400) {
            clock.answerReceived((long) (5000 + now * 0.98), now);
        }
        assertEquals(List.of(), reportedLags);
        clock.answerReceived((long) (5000 + 60_400 * 0.98), 60_000);
        assertEquals(1, reportedLags.size());
    }
}
