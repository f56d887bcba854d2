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
package org.standlink.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;

/** Tests the records that a receiver gets, also when history is dropped between two reads. */
public class TestTopicFollower {

    private static final byte[] VALUE = {1};
    private static final byte[] REMOVED = {};
    private static final long READ_DELAY_MILLIS = 10;

    private final FakeEventLoop loop = new FakeEventLoop(new FakeClock());
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final SlowStore slowStore = new SlowStore();
    private final List<String> received = new ArrayList<>();

    private final TopicReceiver receiver =
            new TopicReceiver() {
                @Override
                public void receive(KeyedRecord record) {
                    received.add(record.key() + (record.value().length == 0 ? " removed" : ""));
                }

                @Override
                public void receiveNewest(List<KeyedRecord> records) {
                    received.add("newest " + records.stream().map(KeyedRecord::key).toList());
                }
            };

    /** The store with delayed reads. */
    private final class SlowStore implements KeyedStore {

        private <T> CompletableFuture<T> delay(Supplier<CompletableFuture<T>> call) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            loop.schedule(
                    () -> {
                        call.get()
                                .whenComplete(
                                        (value, failure) -> {
                                            if (failure == null) {
                                                answer.complete(value);
                                            } else {
                                                answer.completeExceptionally(failure);
                                            }
                                        });
                    },
                    READ_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
            return answer;
        }

        @Override
        public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
            return delay(() -> store.read(topic, from, waitMillis));
        }

        @Override
        public CompletableFuture<ReadResult> readNewest(Topic topic) {
            return delay(() -> store.readNewest(topic));
        }

        @Override
        public CompletableFuture<Long> appendAt(Topic topic, List<KeyedRecord> added, long end) {
            return store.appendAt(topic, added, end);
        }

        @Override
        public CompletableFuture<Long> append(
                Topic topic, List<KeyedRecord> added, AppendCondition condition) {
            return store.append(topic, added, condition);
        }

        @Override
        public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
            return store.fence(topic, epoch);
        }

        @Override
        public CompletableFuture<Long> readEnd(Topic topic) {
            return store.readEnd(topic);
        }
    }

    private void append(String key, byte[] value) {
        store.getRecords(Topic.OPERATOR).add(new KeyedRecord(key, value));
    }

    @Test
    public void newestRecordsAreReceivedBeforeFollowingRecords() {
        append("a", VALUE);
        try (TopicFollower follower =
                new TopicFollower(slowStore, Topic.OPERATOR, loop, loop, receiver)) {
            store.setMaxRecordsPerRead(1);
            follower.start();
            loop.advance(15);
            append("b", VALUE);
            append("b", REMOVED);
            loop.advance(50);
        }
        assertEquals(List.of("newest [a]", "b", "b removed"), received.subList(0, 3));
    }

    /**
     * A key is removed and the history is dropped before the next read. The removal then has no
     * record and can only be detected by the absence of the key from the newest records.
     */
    @Test
    public void removalIsDetectedAfterItsRecordWasDropped() {
        append("a", VALUE);
        TopicFollower follower = new TopicFollower(slowStore, Topic.OPERATOR, loop, loop, receiver);
        follower.start();
        loop.advance(15);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(300);
        append("a", REMOVED);
        append("b", VALUE);
        store.dropHistory();
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        follower.close();
        assertEquals("newest [a]", received.get(0));
        assertEquals("newest [b]", received.get(1));
    }
}
