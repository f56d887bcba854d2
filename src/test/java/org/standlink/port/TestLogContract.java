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
package org.standlink.port;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.StandlinkException;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.MemoryLog;
import org.standlink.standin.MemoryVmList;
import org.standlink.standin.StandInHttpServices;

/** Tests the contract of the log, for the log in memory and for the HTTP adapter in front of it. */
public class TestLogContract {

    private static final int RATE = 5;

    private final FakeClock clock = new FakeClock();

    private final MemoryLog memory = new MemoryLog(clock, RATE, 10_000);

    private final ExecutorService executor = ProcessThreads.newCached("test");

    private HttpService service;

    private enum Kind {
        MEMORY,
        HTTP
    }

    private LogPort log(Kind kind) {
        if (kind == Kind.MEMORY) {
            return memory;
        }
        service =
                StandInHttpServices.servePlatform(
                        new InetSocketAddress("127.0.0.1", 0),
                        executor,
                        memory,
                        new MemoryVmList(clock, 0));
        URI uri = URI.create("http://127.0.0.1:" + service.getPort());
        return new HttpLog(new JsonHttpClient(uri, JsonHttpClient.newClient(executor)));
    }

    @AfterEach
    void close() {
        if (service != null) {
            service.close();
        }
        executor.shutdownNow();
    }

    private static byte[] record(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void assertFails(ErrorCode code, Runnable call) {
        StandlinkException failure = assertThrows(StandlinkException.class, call::run);
        assertEquals(code, failure.getCode());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void givesOffsetsInOrder(Kind kind) {
        LogPort log = log(kind);
        assertEquals(0, log.append(record("a")));
        assertEquals(1, log.append(record("b")));
        LogBatch batch = log.read(1, 10);
        assertEquals(2, batch.end());
        assertArrayEquals(record("b"), batch.entries().get(0).record());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void reportsUnknownOutcomeWhenTheAnswerIsLost(Kind kind) {
        LogPort log = log(kind);
        memory.loseAnswers(1);
        assertFails(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, () -> log.append(record("a")));
        assertEquals(1, log.read(0, 10).entries().size());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void executesADelayedAppendLater(Kind kind) {
        LogPort log = log(kind);
        memory.delayAppends(1);
        assertFails(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, () -> log.append(record("late")));
        log.append(record("next"));
        assertEquals(1, log.read(0, 10).entries().size());
        memory.executeDelayedAppends();
        assertArrayEquals(record("late"), log.read(0, 10).entries().get(1).record());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void rejectsCallsWhileDown(Kind kind) {
        LogPort log = log(kind);
        memory.setDown(true);
        assertFails(ErrorCode.PLATFORM_UNAVAILABLE, () -> log.append(record("a")));
        assertFails(ErrorCode.PLATFORM_UNAVAILABLE, () -> log.read(0, 10));
        memory.setDown(false);
        assertEquals(0, log.append(record("a")));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void limitsAppendsPerSecond(Kind kind) {
        LogPort log = log(kind);
        for (int i = 0; i < RATE; i++) {
            log.append(record("a"));
        }
        assertFails(ErrorCode.PLATFORM_UNAVAILABLE, () -> log.append(record("a")));
        clock.advance(1000);
        assertEquals(RATE, log.append(record("a")));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void dropsOldRecords(Kind kind) {
        LogPort log = log(kind);
        log.append(record("old"));
        clock.advance(10_001);
        log.append(record("new"));
        LogBatch batch = log.read(0, 10);
        assertEquals(1, batch.firstRetained());
        assertEquals(1, batch.entries().get(0).offset());
    }
}
