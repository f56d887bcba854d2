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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a task is suspected, isolated and failed permanently. */
public class TestCrashHistory {

    private static CrashHistory crashed(int times, double likelihood) {
        CrashHistory history = CrashHistory.NONE;
        for (int i = 0; i < times; i++) {
            history = history.withStartupCrash(likelihood);
        }
        return history;
    }

    @Test
    public void taskWithoutHistoryIsNotSuspected() {
        assertFalse(CrashHistory.NONE.isSuspected());
        assertFalse(CrashHistory.NONE.requiresIsolation());
        assertTrue(CrashHistory.NONE.getWeight() > 0);
    }

    @Test
    public void taskFailsPermanentlyAtTheThirdCertainCrash() {
        assertFalse(crashed(2, 1).isFailedPermanently());
        assertTrue(crashed(3, 1).isFailedPermanently());
    }

    @Test
    public void taskFailsPermanentlyAtTheFifthUncertainCrash() {
        assertFalse(crashed(4, 0.5).isFailedPermanently());
        assertTrue(crashed(5, 0).isFailedPermanently());
    }

    @Test
    public void taskFailsPermanentlyAtTheFifthLateCrash() {
        CrashHistory history = CrashHistory.NONE;
        for (int i = 0; i < 4; i++) {
            history = history.withLateCrash();
        }
        assertFalse(history.isFailedPermanently());
        assertTrue(history.withLateCrash().isFailedPermanently());
    }

    @Test
    public void provenRunClearsStartCrashesButNotLateCrashes() {
        CrashHistory history = crashed(4, 0.9).withLateCrash().withProvenStart();
        assertEquals(0, history.getStartupCrashes());
        assertEquals(1, history.getLateCrashes());
        assertFalse(history.isSuspected());
    }

    @Test
    public void crashCausedByAnotherTaskStillCounts() {
        CrashHistory history = crashed(2, 0.5).withoutSuspicion();
        assertEquals(2, history.getStartupCrashes());
        assertFalse(history.isSuspected());
    }

    @Test
    public void taskWaitsForIsolationAfterSeveralCrashes() {
        assertTrue(crashed(1, 0.3).requiresIsolation());
        assertFalse(crashed(1, 0.3).mustWaitForIsolation());
        assertTrue(crashed(2, 0.3).mustWaitForIsolation());
        assertTrue(crashed(3, 0).mustWaitForIsolation());
    }

    @Test
    public void storedHistoryIsReadBackAndBounded() {
        CrashHistory history = crashed(2, 0.123).withLateCrash();
        assertEquals(
                history,
                CrashHistory.of(
                        history.getStartupCrashes(),
                        history.getLateCrashes(),
                        history.getSuspicionPerMille()));
        assertEquals(CrashHistory.NONE, CrashHistory.of(-1, -1, -1));
        assertEquals(1000, CrashHistory.of(1, 0, 5000).getSuspicionPerMille());
    }
}
