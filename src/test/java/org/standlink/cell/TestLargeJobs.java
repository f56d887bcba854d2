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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.StoreLimits;
import org.standlink.store.Topic;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.Message;
import org.standlink.wire.SubmitJob;

/** Tests which jobs a leader keeps, and what they cost. */
public class TestLargeJobs {

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private JobCellLeader leader = CellFixtures.startLeader(1, store, clock, loop);
    private long call;

    private JobAnswer ask(JobCellLeader recipient, Message request) {
        recipient.handle(entry, ++call, request);
        loop.advance(50);
        return (JobAnswer) entry.findAnswer(call);
    }

    /** A repeated job of 8 tasks each minute. */
    private static SubmitJob repeatedSubmission(String id, int repetitions, long firstMillis) {
        return new SubmitJob(
                new JobDefinition(
                        JobId.parse(id),
                        "q",
                        "text",
                        CellFixtures.job(id, 8).steps(),
                        firstMillis,
                        60_000,
                        repetitions));
    }

    /**
     * Guards against leaders that run out of memory one after the other, by jobs that repeat often:
     * a thousand that run each minute for two weeks, and one that does so for a year.
     */
    @Test
    public void leaderKeepsJobsThatRepeatOften() {
        long first = clock.nowMillis() + 600_000;
        for (int i = 1; i <= 1000; i++) {
            leader.handle(
                    entry, ++call, repeatedSubmission(String.format("%016x", i), 20_160, first));
        }
        loop.advance(1000);
        assertEquals(
                JobAnswer.Result.DONE,
                ask(leader, repeatedSubmission("b", 525_600, first)).result());
        leader.close();
        leader = CellFixtures.startLeader(2, store, clock, loop);
        loop.advance(500);
        for (int i = 1; i <= 1000; i += 333) {
            JobAnswer answer =
                    ask(leader, new JobQuery(JobId.parse(String.format("%016x", i)), "q"));
            assertEquals(JobAnswer.ofDone(JobState.QUEUED), answer);
        }
        int bytes =
                store.readNewest(Topic.CELL).join().records().stream()
                        .mapToInt(StoreLimits::lengthOf)
                        .sum();
        assertTrue(bytes < 1001 * 500, "the state does not grow with the repetitions");
    }

    /** Guards against one submission that ends one leader after the other. */
    @Test
    public void jobThatNoLeaderCanKeepIsRefusedAtOnce() {
        JobAnswer wide =
                ask(leader, new SubmitJob(CellFixtures.job("a", RepetitionWindow.MAX_TASKS + 1)));
        assertEquals(JobAnswer.Result.NOT_DONE, wide.result());
        assertTrue(wide.retryAfterSeconds() >= 3600);
        int[] steps = new int[9000];
        Arrays.fill(steps, 1);
        assertEquals(
                JobAnswer.Result.NOT_DONE,
                ask(leader, new SubmitJob(CellFixtures.job("b", steps))).result());
        int[] counts = new int[3];
        Arrays.fill(counts, Integer.MAX_VALUE);
        assertEquals(
                JobAnswer.Result.NOT_DONE,
                ask(leader, new SubmitJob(CellFixtures.job("c", counts))).result());
        assertEquals(
                JobAnswer.Result.DONE,
                ask(leader, new SubmitJob(CellFixtures.job("d", 1))).result());
    }
}
