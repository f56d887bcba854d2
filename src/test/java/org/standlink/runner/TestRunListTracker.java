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

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Fence;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/**
 * Tests which ends are acknowledged to a worker, and which are reported.
 *
 * <p>Guards against a task that runs again after it has ended (seen in a simulated day in which
 * workers keep their ids, seed 877). A renewal was not answered, the worker crashed, and its next
 * incarnation received the renewal late. It then discarded an unreported end of its own, because
 * each renewal named the last recorded end, also after the worker had discarded it, and the new end
 * had a number up to that one.
 */
public class TestRunListTracker {

    private final RunListTracker lists = new RunListTracker();

    private void reportEnds(int... ends) {
        List<RunEnd> ended = Arrays.stream(ends).mapToObj(TestRunListTracker::end).toList();
        CallResult done = new CallResult(CallResult.Kind.DONE, 1, "");
        lists.update(
                new RenewalResult(done, RunnerFixtures.INCARNATION, List.of(), ended), Fence.NONE);
    }

    private static RunEnd end(int number) {
        RunId run = new RunId(TaskName.parse("j.0.0." + number), 1);
        return new RunEnd(number, run, RunEndKind.DONE, "");
    }

    @Test
    public void recordedEndsAreAcknowledgedWhileTheWorkerListsThem() {
        reportEnds(1, 2);
        assertEquals(0, lists.getEndToAcknowledge());
        lists.advanceRecordedEnd(2);
        assertEquals(2, lists.getEndToAcknowledge());
        reportEnds(1, 2, 3);
        assertEquals(2, lists.getEndToAcknowledge());
    }

    @Test
    public void endsThatAreNoLongerListedAreNotAcknowledgedAgain() {
        reportEnds(1, 2);
        lists.advanceRecordedEnd(2);
        reportEnds();
        assertEquals(0, lists.getEndToAcknowledge());
        reportEnds(3);
        assertEquals(0, lists.getEndToAcknowledge());
        lists.advanceRecordedEnd(3);
        assertEquals(3, lists.getEndToAcknowledge());
    }

    /**
     * Another agent process, or a renewal for a former incarnation, may have made it forget them.
     */
    @Test
    public void endsThatTheWorkerForgotUnrecordedAreStillReported() {
        reportEnds(1, 2);
        reportEnds(3);
        assertEquals(List.of(end(1), end(2), end(3)), lists.getEnded());
        lists.advanceRecordedEnd(2);
        assertEquals(List.of(end(3)), lists.getEnded());
    }
}
