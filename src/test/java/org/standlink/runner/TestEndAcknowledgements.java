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
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.cell.CellTimes;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/** Tests how the acknowledgements of ends and the starts of a worker take turns. */
public class TestEndAcknowledgements {

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final RunListTracker lists = new RunListTracker();
    private final InDoubtStarts starts = new InDoubtStarts();
    private final List<String> resumed = new ArrayList<>();
    private Fence fence = fence(1);
    private final EndAcknowledgements acknowledgements =
            new EndAcknowledgements(
                    new WorkerContext(() -> RunnerFixtures.WORKER, null, clock, loop, () -> fence),
                    lists,
                    () -> {});

    private static Fence fence(int generation) {
        return Fence.of(Epoch.of(1), LeaseGeneration.of(generation));
    }

    private static RenewalResult result(CallResult.Kind kind, List<RunEnd> ended) {
        CallResult result = new CallResult(kind, 1, "");
        return new RenewalResult(result, RunnerFixtures.INCARNATION, List.of(), ended);
    }

    private void recordEnds(int count) {
        List<RunEnd> ended =
                IntStream.rangeClosed(1, count).mapToObj(TestEndAcknowledgements::end).toList();
        lists.update(result(CallResult.Kind.DONE, ended), fence);
        lists.advanceRecordedEnd(count);
    }

    private static RunEnd end(int number) {
        RunId run = new RunId(TaskName.parse("j.0.0." + number), 1);
        return new RunEnd(number, run, RunEndKind.DONE, "");
    }

    private CompletableFuture<RenewalResult> acknowledge() {
        CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
        acknowledgements.track(answer, fence);
        return answer;
    }

    private void complete(CompletableFuture<RenewalResult> answer, CallResult.Kind kind) {
        answer.complete(result(kind, List.of()));
        loop.advance(0);
    }

    // -----------------------------------------------------------------------
    @Test
    public void aStartIsResumedByTheAnswer() {
        assertFalse(acknowledgements.deferStart(() -> resumed.add("early")));
        CompletableFuture<RenewalResult> answer = acknowledge();
        assertTrue(acknowledgements.deferStart(() -> resumed.add("start")));
        assertEquals(List.of(), resumed);
        complete(answer, CallResult.Kind.DONE);
        assertEquals(List.of("start"), resumed);
        assertFalse(acknowledgements.isHigherFenceRequired());
    }

    /** A call that fails altogether must not defer starts for ever. */
    @Test
    public void aStartIsResumedByAFailure() {
        CompletableFuture<RenewalResult> answer = acknowledge();
        acknowledgements.deferStart(() -> resumed.add("start"));
        answer.completeExceptionally(new IllegalStateException("on purpose"));
        loop.advance(0);
        assertEquals(List.of("start"), resumed);
        assertTrue(acknowledgements.isHigherFenceRequired());
    }

    @Test
    public void aHigherFenceIsRequiredWhileAnUnansweredCallMayBeCarriedOut() {
        complete(acknowledge(), CallResult.Kind.UNKNOWN);
        clock.advance(CellTimes.MAX_CALL_DELAY_MILLIS - 1);
        assertTrue(acknowledgements.isHigherFenceRequired());
        fence = fence(2);
        assertFalse(acknowledgements.isHigherFenceRequired());
        fence = fence(1);
        clock.advance(1);
        assertFalse(acknowledgements.isHigherFenceRequired());
    }

    @Test
    public void aRefusedCallRequiresNoHigherFence() {
        complete(acknowledge(), CallResult.Kind.UNWELL);
        assertFalse(acknowledgements.isHigherFenceRequired());
    }

    // -----------------------------------------------------------------------
    @Test
    public void endsAreWithheldWhileAStartIsInDoubt() {
        InDoubtStarts startsOfEnded = new InDoubtStarts();
        acknowledgements.addInDoubtStarts(starts);
        acknowledgements.addInDoubtStarts(startsOfEnded);
        recordEnds(2);
        assertEquals(2, acknowledgements.getNextNumber());
        long until = starts.beginCall(RunnerFixtures.RUN, fence, clock.nowMillis());
        assertEquals(0, acknowledgements.getNextNumber());
        starts.endCall(RunnerFixtures.RUN, until, CallResult.Kind.DONE);
        assertEquals(2, acknowledgements.getNextNumber());
        startsOfEnded.beginCall(RunnerFixtures.RUN, fence, clock.nowMillis());
        assertEquals(0, acknowledgements.getNextNumber());
        clock.advance(CellTimes.START_IN_DOUBT_MILLIS);
        assertEquals(2, acknowledgements.getNextNumber());
    }

    /** Guards against workers whose lists are full, on which nothing can be started. */
    @Test
    public void onlySomeEndsAreWithheld() {
        acknowledgements.addInDoubtStarts(starts);
        starts.beginCall(RunnerFixtures.RUN, fence, clock.nowMillis());
        recordEnds(EndAcknowledgements.MAX_WITHHELD - 1);
        assertTrue(acknowledgements.isWithheld());
        recordEnds(EndAcknowledgements.MAX_WITHHELD);
        assertFalse(acknowledgements.isWithheld());
        assertEquals(EndAcknowledgements.MAX_WITHHELD, acknowledgements.getNextNumber());
    }
}
