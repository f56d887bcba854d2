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

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
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
 * Tests calls to the store whose transfer takes longer than the timeout of a call.
 *
 * <p>Guards against processes that never get a large configuration or state after a restart: a call
 * was ended after its timeout though its answer was still arriving, and was begun anew from the
 * start, with the same result each time.
 */
public class TestThinStoreLinks {

    /** The rate of the link, in bytes per second. */
    private static final long RATE = 400_000;

    /** The size of a record that takes one and a half times the timeout of a call. */
    private static final int LARGE_BYTES = 600_000;

    private static final AppendCondition FIRST =
            new AppendCondition(Epoch.of(1), 1, AppendCondition.ANY_END);

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private final byte[] large = new byte[LARGE_BYTES];
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
        new Random(1).nextBytes(large);
    }

    @AfterEach
    public void close() throws IOException {
        proxy.close();
        standIn.close();
        threads.shutdownNow();
    }

    private List<KeyedRecord> largeRecords() {
        return List.of(new KeyedRecord("a", large));
    }

    /** Appends a large record and limits the rate of the link afterwards. */
    private void storeLargeRecord() {
        store.append(Topic.CELL, largeRecords(), FIRST).join();
        proxy.limitRate(RATE);
    }

    private void assertLarge(List<KeyedRecord> records) {
        assertEquals(1, records.size());
        assertArrayEquals(large, records.get(0).value());
    }

    // -----------------------------------------------------------------------
    @Test
    public void newestRecordThatTakesLongerThanTheTimeoutIsRead() {
        storeLargeRecord();
        assertLarge(store.readNewest(Topic.CELL).join().records());
    }

    @Test
    public void followingRecordThatTakesLongerThanTheTimeoutIsRead() {
        storeLargeRecord();
        assertLarge(store.read(Topic.CELL, 0, 0).join().records());
    }

    @Test
    public void appendThatTakesLongerThanTheTimeoutIsAnswered() {
        proxy.limitRate(RATE);
        assertEquals(1, store.append(Topic.CELL, largeRecords(), FIRST).join());
    }

    /** Guards against a call that never ends because its answer had begun to arrive. */
    @Test
    public void transferThatStallsEndsAndTheNextOneSucceeds() throws Exception {
        storeLargeRecord();
        long before = proxy.getForwardedBytes();
        CompletableFuture<?> stalled = store.readNewest(Topic.CELL);
        while (proxy.getForwardedBytes() - before < LARGE_BYTES / 4) {
            assertFalse(stalled.isDone());
            Thread.onSpinWait();
        }
        proxy.stallOpenConnections();
        CompletionException unknown = assertThrows(CompletionException.class, stalled::join);
        StandlinkException failure = (StandlinkException) unknown.getCause();
        assertEquals(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, failure.getCode());
        assertTrue(failure.getMessage().contains("received"), failure::getMessage);
        assertLarge(store.readNewest(Topic.CELL).join().records());
    }
}
