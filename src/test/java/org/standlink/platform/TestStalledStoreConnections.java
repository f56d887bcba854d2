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
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.store.Writer;

/**
 * Tests each kind of call to the store on connections that go silent for good while new ones work.
 *
 * <p>Only the time limit of a call can find such a connection. Each test opens a connection by a
 * first call, lets it go silent, and shows that the next call ends as not known within its own
 * limit, and that what follows gets a connection that works: nobody waits behind a silent one for
 * longer than one limit. The tests ask what ends and how, never how fast.
 */
public class TestStalledStoreConnections {

    private static final Writer FIRST = new Writer(Epoch.of(1), 1, Writer.ANYWHERE);
    private static final Writer SECOND = new Writer(Epoch.of(1), 2, Writer.ANYWHERE);

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private StandInStore standIn;
    private StallingProxy proxy;
    private HttpStore store;

    @BeforeEach
    public void listen() throws IOException {
        standIn = new StandInStore(new InetSocketAddress("127.0.0.1", 0), threads);
        proxy = new StallingProxy(standIn.getPort(), threads);
        store = new HttpStore(new PlatformHttpClient(threads), "127.0.0.1:" + proxy.getPort());
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

    /** The first call ends as not known, the same call then ends well. */
    private <T> T secondOf(Supplier<CompletableFuture<T>> call) {
        CompletionException lost = assertThrows(CompletionException.class, () -> call.get().join());
        ErrorCode code = ((StandlinkException) lost.getCause()).getCode();
        assertEquals(ErrorCode.PLATFORM_OUTCOME_UNKNOWN, code);
        return call.get().join();
    }

    // -----------------------------------------------------------------------
    @Test
    public void appendIsRetriedUnderItsSequenceNumberAndExecutedOnce() {
        assertEquals(2, secondOf(() -> store.append(Topic.CELL, records("b"), SECOND)));
        assertEquals(2, store.readEnd(Topic.CELL).join());
    }

    @Test
    public void claimIsRetriedUnderItsCondition() {
        assertEquals(1, secondOf(() -> store.appendAt(Topic.CLAIMS, records("c"), 0)));
    }

    @Test
    public void fenceIsRetried() {
        assertEquals(1, secondOf(() -> store.fence(Topic.CELL, Epoch.of(2))));
    }

    @Test
    public void readIsRetried() {
        assertEquals(1, secondOf(() -> store.read(Topic.CELL, 0, 0)).records().size());
    }

    @Test
    public void readOfTheEndIsRetried() {
        assertEquals(1, secondOf(() -> store.readEnd(Topic.CELL)));
    }

    @Test
    public void readOfTheNewestRecordsIsRetried() {
        assertEquals(1, secondOf(() -> store.readNewest(Topic.CELL)).records().size());
    }

    @Test
    public void longPollOnAStalledConnectionTimesOutAndIsRetried() {
        // Leaves one idle connection that works, which the read takes.
        secondOf(() -> store.readEnd(Topic.CELL));
        CompletableFuture<?> waiting = store.read(Topic.CELL, 1, 300);
        proxy.stallOpenConnections();
        assertThrows(CompletionException.class, waiting::join);
        assertEquals(1, store.read(Topic.CELL, 0, 300).join().records().size());
    }

    @Test
    public void callIsNotQueuedBehindOneOnAStalledConnection() {
        CompletableFuture<Boolean> read = endsWell(store.readEnd(Topic.CELL));
        CompletableFuture<Boolean> append =
                endsWell(store.append(Topic.CELL, records("b"), SECOND));
        // Whichever takes the silent connection is alone on it.
        assertTrue(read.join() != append.join());
    }

    private static CompletableFuture<Boolean> endsWell(CompletableFuture<?> call) {
        return call.handle((value, failure) -> failure == null);
    }
}
