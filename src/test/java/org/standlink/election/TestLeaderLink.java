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
package org.standlink.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.QueueQuery;

/** Tests which leader a process calls, and that an unresponsive leader delays no caller. */
public class TestLeaderLink {

    private final FakeClock clock = new FakeClock();
    private final List<Runnable> background = new ArrayList<>();
    private final LeaderLink link =
            new LeaderLink(background::add, (connection, call, message) -> {}, clock);

    @BeforeEach
    public void setUpLeader() {
        link.offer(new LeaderNotice(Epoch.of(2), "127.0.0.1:1"), "test");
    }

    @Test
    public void aCallWithoutAConnectionFailsAtOnceWhileOneIsMade() {
        assertTrue(link.call(new QueueQuery("q"), 1000).isCompletedExceptionally());
        assertTrue(link.call(new QueueQuery("q"), 1000).isCompletedExceptionally());
        assertEquals(1, background.size());
    }

    @Test
    public void probesAnUnresponsiveLeaderPeriodically() {
        link.call(new QueueQuery("q"), 1000);
        assertFalse(link.isUnresponsive());
        clock.advance(501);
        assertFalse(link.isUnresponsive());
        assertTrue(link.isUnresponsive());
        clock.advance(250);
        assertFalse(link.isUnresponsive());
        assertTrue(link.isUnresponsive());
    }

    @Test
    public void aNewLeaderIsNotUnresponsive() {
        link.call(new QueueQuery("q"), 1000);
        clock.advance(1000);
        link.offer(new LeaderNotice(Epoch.of(3), "127.0.0.1:2"), "test");
        assertFalse(link.isUnresponsive());
        assertFalse(link.isUnresponsive());
    }

    @Test
    public void ignoresALeaderOfAnOlderEpoch() {
        link.offer(new LeaderNotice(Epoch.of(1), "127.0.0.1:9"), "test");
        assertEquals(new LeaderNotice(Epoch.of(2), "127.0.0.1:1"), link.getLeader());
    }
}
