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
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;

/**
 * Tests that a commit queue runs no effect whose changes are not in the store, whichever call of a
 * change source throws.
 *
 * <p>Guards against effects that run after an append without the changes that they waited for: the
 * queue continued after a throw and lost the changes that it had already taken. The second of two
 * sources throws in each of its calls in turn: when it is queried, when its changes are taken and
 * encoded, and when it is notified of the append. An effect throws as well.
 */
public class TestThrowingChangeSources {

    private static final int MAX_CALLS = 20;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final List<String> effects = new ArrayList<>();
    private int callsUntilThrow;
    private Supplier<RuntimeException> exception;

    /** Counts a call and throws if it is the chosen one. */
    private void countCall() {
        callsUntilThrow--;
        if (callsUntilThrow == 0) {
            if (exception == null) {
                throw new NoClassDefFoundError("on purpose");
            }
            throw exception.get();
        }
    }

    /** A source of numbered changes that may throw. */
    private final class NumberedChanges implements ChangeSource {

        private final String name;
        private final boolean throwing;
        private final List<String> changes = new ArrayList<>();

        NumberedChanges(String name, boolean throwing) {
            this.name = name;
            this.throwing = throwing;
        }

        private void countIfThrowing() {
            if (throwing) {
                countCall();
            }
        }

        @Override
        public boolean hasChanges() {
            countIfThrowing();
            return !changes.isEmpty();
        }

        @Override
        public List<KeyedRecord> takeChanges() {
            List<KeyedRecord> records = new ArrayList<>();
            for (String change : changes) {
                records.add(new KeyedRecord(name + change, new byte[] {1}));
            }
            changes.clear();
            // The changes are removed by now, as in a source that fails to encode them.
            countIfThrowing();
            return records;
        }

        @Override
        public void markPersisted() {
            countIfThrowing();
        }
    }

    private void runWithThrowAt(int call) {
        callsUntilThrow = call;
        NumberedChanges first = new NumberedChanges("first-", false);
        NumberedChanges second = new NumberedChanges("second-", true);
        CommitQueue queue =
                new CommitQueue(
                        store,
                        new WriterId(Epoch.of(call), Incarnation.of(call)),
                        List.of(first, second),
                        new LeaderAuthority(clock, clock::nowMillis),
                        loop,
                        loop,
                        () -> effects.add("ended"));
        queue.setTopicEnd(store.getRecords(Topic.CELL).size());
        for (int i = 1; i <= 4; i++) {
            String change = call + "." + i;
            first.changes.add(change);
            second.changes.add(change);
            queue.afterCommit(() -> effects.add("first-" + change));
            queue.afterCommit(
                    () -> {
                        effects.add("second-" + change);
                        countCall();
                    });
            catchExpected(queue::startAppend);
            catchExpected(() -> loop.advance(50));
        }
    }

    private static void catchExpected(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error thrown) {
            assertEquals("on purpose", thrown.getMessage());
        }
    }

    private void checkAllCalls() {
        for (int call = 1; call <= MAX_CALLS; call++) {
            runWithThrowAt(call);
        }
        List<String> persisted =
                store.getRecords(Topic.CELL).stream().map(KeyedRecord::key).toList();
        List<String> missing = new ArrayList<>(effects);
        missing.removeAll(persisted);
        assertEquals(List.of(), missing, "effects without stored changes");
        assertTrue(effects.size() > MAX_CALLS, "effects of stored changes were run");
    }

    @Test
    public void effectsFollowStoredChangesWhicheverCallThrowsAnException() {
        exception = () -> new IllegalStateException("on purpose");
        checkAllCalls();
    }

    @Test
    public void effectsFollowStoredChangesWhicheverCallThrowsAnError() {
        checkAllCalls();
    }
}
