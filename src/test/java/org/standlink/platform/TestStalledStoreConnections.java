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
package org.standlink.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.ProcessThreads;
import org.standlink.store.AppendCondition;
import org.standlink.store.KeyedRecord;
import org.standlink.store.StoreLimits;
import org.standlink.store.Topic;

/**
 * Tests each kind of call to the store on connections that stall for good while new ones work.
 *
 * <p>Only the timeout of a call detects such a connection. Each test opens a connection with a
 * first call and stalls it. The next call must end with an unknown outcome at its own timeout, and
 * the call after it must use a working connection: no call may wait behind a stalled one for longer
 * than one timeout. The tests check outcomes, not durations.
 */
public class TestStalledStoreConnections {

    private static final AppendCondition FIRST =
            new AppendCondition(Epoch.of(1), 1, AppendCondition.ANY_END);
    private static final AppendCondition SECOND =
            new AppendCondition(Epoch.of(1), 2, AppendCondition.ANY_END);

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private StandInStore standIn;
    private StallingProxy proxy;
    private HttpStore store;

    @BeforeEach
    public void listen() throws IOException {
        standIn = new StandInStore(new InetSocketAddress("127.0.0.1", 0), threads);
        proxy = new StallingProxy(standIn.getPort(), threads);
        store =
                new HttpStore(
                        new PlatformHttpClient(threads),
                        "127.0.0.1:" + proxy.getPort(),
                        StoreLimits.DEFAULT);
        store.append(Topic.CELL, records("a"), FIRST).join();
        assertTrue(proxy.stallOpenConnections() > 0, "a connection is kept open");
    }

    @AfterEach
    public void close() throws IOException {
        proxy.close();
        standIn.close();
        threads.shutdownNow();
    }

    private static List<KeyedRecord> records(String key) {
        return List.of(new KeyedRecord(key, new byte[] {1}));
    }

    /** Checks that the first call has an unknown outcome, and gets the result of a second one. */
    private <T> T resultOfSecondCall(Supplier<CompletableFuture<T>> call) {
        CompletionException unknown =
                assertThrows(CompletionException.class, () -> call.get().join());
        ErrorCode code = ((StandlinkException) unknown.getCause()).getCode();
        assertEquals(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, code);
        return call.get().join();
    }

    // -----------------------------------------------------------------------
    @Test
    public void appendIsRetriedUnderItsSequenceNumberAndExecutedOnce() {
        assertEquals(2, resultOfSecondCall(() -> store.append(Topic.CELL, records("b"), SECOND)));
        assertEquals(2, store.readEnd(Topic.CELL).join());
    }

    @Test
    public void claimIsRetriedUnderItsCondition() {
        assertEquals(1, resultOfSecondCall(() -> store.appendAt(Topic.CLAIMS, records("c"), 0)));
    }

    @Test
    public void fenceIsRetried() {
        assertEquals(1, resultOfSecondCall(() -> store.fence(Topic.CELL, Epoch.of(2))));
    }

    @Test
    public void readIsRetried() {
        assertEquals(1, resultOfSecondCall(() -> store.read(Topic.CELL, 0, 0)).records().size());
    }

    @Test
    public void readOfTheEndIsRetried() {
        assertEquals(1, resultOfSecondCall(() -> store.readEnd(Topic.CELL)));
    }

    @Test
    public void readOfTheNewestRecordsIsRetried() {
        assertEquals(1, resultOfSecondCall(() -> store.readNewest(Topic.CELL)).records().size());
    }

    @Test
    public void longPollOnAStalledConnectionTimesOutAndIsRetried() {
        // Leaves one idle, working connection, which the read uses.
        resultOfSecondCall(() -> store.readEnd(Topic.CELL));
        CompletableFuture<?> waiting = store.read(Topic.CELL, 1, 300);
        proxy.stallOpenConnections();
        assertThrows(CompletionException.class, waiting::join);
        assertEquals(1, store.read(Topic.CELL, 0, 300).join().records().size());
    }

    @Test
    public void callIsNotQueuedBehindOneOnAStalledConnection() {
        CompletableFuture<Boolean> read = succeeds(store.readEnd(Topic.CELL));
        CompletableFuture<Boolean> append =
                succeeds(store.append(Topic.CELL, records("b"), SECOND));
        // Whichever call uses the stalled connection is the only one that fails.
        assertTrue(read.join() != append.join());
    }

    private static CompletableFuture<Boolean> succeeds(CompletableFuture<?> call) {
        return call.handle((value, failure) -> failure == null);
    }
}
