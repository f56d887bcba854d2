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

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;

/**
 * Tests that a commit queue lets nothing happen whose changes are not in the store, whichever call
 * of a part of the state throws.
 *
 * <p>Seen: effects ran after an append that did not hold the changes which they had waited for.
 *
 * <p>Cause: the queue went on after a throw, without the changes that had been taken by then.
 *
 * <p>Proof: two sources of which the second throws in each of its calls in turn, when it is taken,
 * asked, told of the append or encoded, and an effect that throws.
 */
public class TestThrowingChangeSources {

    private static final int MOST_CALLS = 20;

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final List<String> told = new ArrayList<>();
    private int left;
    private Supplier<RuntimeException> exception;

    /** Throws at the call whose turn it is. */
    private void count() {
        left--;
        if (left == 0) {
            if (exception == null) {
                throw new NoClassDefFoundError("on purpose");
            }
            throw exception.get();
        }
    }

    /** One change after the other, each with its number. */
    private final class Numbers implements ChangeSource {

        private final String name;
        private final boolean throwing;
        private final List<String> changes = new ArrayList<>();

        Numbers(String name, boolean throwing) {
            this.name = name;
            this.throwing = throwing;
        }

        private void step() {
            if (throwing) {
                count();
            }
        }

        @Override
        public boolean hasChanges() {
            step();
            return !changes.isEmpty();
        }

        @Override
        public List<KeyedRecord> takeChanges() {
            List<KeyedRecord> records = new ArrayList<>();
            for (String change : changes) {
                records.add(new KeyedRecord(name + change, new byte[] {1}));
            }
            changes.clear();
            // What was taken is gone by now, as of a source that fails to encode it.
            step();
            return records;
        }

        @Override
        public void markPersisted() {
            step();
        }
    }

    private void play(int call) {
        left = call;
        Numbers first = new Numbers("first-", false);
        Numbers second = new Numbers("second-", true);
        CommitQueue queue =
                new CommitQueue(
                        store,
                        Epoch.of(call),
                        List.of(first, second),
                        new LeaderAuthority(clock, clock::nowMillis),
                        loop,
                        loop,
                        () -> told.add("ended"));
        queue.setTopicEnd(store.records(Topic.CELL).size());
        for (int i = 1; i <= 4; i++) {
            String change = call + "." + i;
            first.changes.add(change);
            second.changes.add(change);
            queue.afterCommit(() -> told.add("first-" + change));
            queue.afterCommit(
                    () -> {
                        told.add("second-" + change);
                        count();
                    });
            letPass(queue::startAppend);
            letPass(() -> loop.advance(50));
        }
    }

    private static void letPass(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error thrown) {
            assertEquals("on purpose", thrown.getMessage());
        }
    }

    private void playAll() {
        for (int call = 1; call <= MOST_CALLS; call++) {
            play(call);
        }
        List<String> kept = store.records(Topic.CELL).stream().map(KeyedRecord::key).toList();
        List<String> missing = new ArrayList<>(told);
        missing.removeAll(kept);
        assertEquals(List.of(), missing, "told and not kept");
        assertTrue(told.size() > MOST_CALLS, "told what was kept");
    }

    @Test
    public void effectsFollowStoredChangesWhicheverCallThrowsAnException() {
        exception = () -> new IllegalStateException("on purpose");
        playAll();
    }

    @Test
    public void effectsFollowStoredChangesWhicheverCallThrowsAnError() {
        playAll();
    }
}
