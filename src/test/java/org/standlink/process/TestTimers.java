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
package org.standlink.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.StandlinkException;

/** Tests the logging and counting of failures of repeating work. */
public class TestTimers {

    private static final Logger LOGGER = Logger.getLogger(Timers.class.getName());

    private final FakeEventLoop loop = new FakeEventLoop(new FakeClock());
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Timers timers = new Timers(loop, registry, "failures");
    private final List<Level> levels = new ArrayList<>();
    private RuntimeException failure;

    private final Handler handler =
            new Handler() {
                @Override
                public void publish(LogRecord line) {
                    levels.add(line.getLevel());
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    @BeforeEach
    public void setUp() {
        LOGGER.addHandler(handler);
        timers.scheduleRepeating(
                "heartbeat",
                100,
                () -> {
                    if (failure != null) {
                        throw failure;
                    }
                });
        loop.advance(0);
    }

    @AfterEach
    public void tearDown() {
        LOGGER.removeHandler(handler);
    }

    private double count(ErrorCode code) {
        return registry.counter("failures", "work", "heartbeat", "code", code.name()).count();
    }

    @Test
    public void lossAndRecoveryOfTheLeaderAreLoggedOnce() {
        failure =
                new CompletionException(
                        new StandlinkException(ErrorCode.PEER_UNREACHABLE, "gone", "wait"));
        loop.advance(1000);
        assertEquals(List.of(Level.INFO), levels);
        assertEquals(10, count(ErrorCode.PEER_UNREACHABLE));
        failure = null;
        loop.advance(1000);
        assertEquals(List.of(Level.INFO, Level.INFO), levels);
    }

    @Test
    public void aDefectIsLoggedEachTime() {
        failure = new IllegalStateException("defect");
        loop.advance(200);
        assertEquals(List.of(Level.SEVERE, Level.SEVERE), levels);
    }
}
