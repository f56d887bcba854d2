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

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
import org.standlink.store.ReadResult;
import org.standlink.store.StoreLimits;
import org.standlink.store.Topic;

/** Tests the client of the store against the stand-in, over real connections. */
public class TestHttpStore {

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private StandInStore standIn;
    private HttpStore store;

    @BeforeEach
    public void listen() {
        standIn = new StandInStore(new InetSocketAddress("127.0.0.1", 0), threads);
        store =
                new HttpStore(
                        new PlatformHttpClient(threads),
                        "127.0.0.1:" + standIn.getPort(),
                        StoreLimits.DEFAULT);
    }

    @AfterEach
    public void close() {
        standIn.close();
        threads.shutdownNow();
    }

    private static KeyedRecord record(String key, String value) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.US_ASCII));
    }

    private static ErrorCode codeOf(CompletableFuture<?> call) {
        CompletionException failure = assertThrows(CompletionException.class, call::join);
        return ((StandlinkException) failure.getCause()).getCode();
    }

    @Test
    public void appendAtAnotherEndIsRejected() {
        assertEquals(1, store.appendAt(Topic.CLAIMS, List.of(record("a", "1")), 0).join());
        CompletableFuture<Long> second = store.appendAt(Topic.CLAIMS, List.of(record("a", "2")), 0);
        assertEquals(ErrorCode.CONDITION_FAILED, codeOf(second));
        assertEquals(1, store.readEnd(Topic.CLAIMS).join());
    }

    @Test
    public void aWriterOfAnOlderEpochIsFenced() {
        store.append(
                        Topic.CELL,
                        List.of(record("a", "1")),
                        new AppendCondition(Epoch.of(1), 1, AppendCondition.ANY_END))
                .join();
        store.fence(Topic.CELL, Epoch.of(2)).join();
        CompletableFuture<Long> late =
                store.append(
                        Topic.CELL,
                        List.of(record("a", "2")),
                        new AppendCondition(Epoch.of(1), 2, AppendCondition.ANY_END));
        assertEquals(ErrorCode.EPOCH_FENCED, codeOf(late));
        assertEquals(1, store.readEnd(Topic.CELL).join());
    }

    @Test
    public void newestRecordOfEachKeyIsReadAndThenFollowingRecords() {
        store.appendAt(
                        Topic.CLAIMS,
                        List.of(record("a", "1"), record("b", "1"), record("a", "2")),
                        0)
                .join();
        store.appendAt(Topic.CLAIMS, List.of(record("b", "")), 3).join();
        ReadResult newest = store.readNewest(Topic.CLAIMS).join();
        assertEquals(4, newest.nextOffset());
        assertEquals(1, newest.records().size());
        assertEquals("a", newest.records().get(0).key());
        CompletableFuture<ReadResult> waiting = store.read(Topic.CLAIMS, 4, 20_000);
        store.appendAt(Topic.CLAIMS, List.of(record("c", "3")), 4).join();
        ReadResult following = waiting.join();
        assertEquals(5, following.nextOffset());
        assertEquals("c", following.records().get(0).key());
    }

    /** Guards against a refused number of another leader that ends a leader as if it were newer. */
    @Test
    public void refusedSequenceNumberMeansAnotherWriterOfTheEpoch() throws IOException {
        String reason = "{\"reason\":\"seq\",\"seq\":7}";
        String answer = "HTTP/1.1 409 Conflict\r\nContent-Length: " + reason.length() + "\r\n\r\n";
        ScriptedServer.Script refusal =
                peer -> {
                    while (peer.readRequest()) {
                        peer.write(answer + reason);
                    }
                };
        try (ScriptedServer server = new ScriptedServer(threads, refusal)) {
            HttpStore refusing =
                    new HttpStore(
                            new PlatformHttpClient(threads),
                            server.getAddress(),
                            StoreLimits.DEFAULT);
            CompletableFuture<Long> append =
                    refusing.append(
                            Topic.CELL,
                            List.of(),
                            new AppendCondition(Epoch.of(1), 1, AppendCondition.ANY_END));
            assertEquals(ErrorCode.EPOCH_SHARED, codeOf(append));
        }
    }
}
