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
package org.standlink.simulation;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.store.Writer;

/** The store as one process sees it: at times away, slow, or with its answers lost. */
final class SimulatedStoreClient implements KeyedStore {

    private static final long CALL_MILLIS = 1000;
    private static final int LOST_PERCENT = 60;
    private static final int LATE_PERCENT = 25;
    private static final int REFUSED_PERCENT = 30;

    private final SimulationEnvironment world;
    private final FakeKeyedStore store;
    private final StoreFaults shared;
    private final StoreFaults own;

    /** A view that is hindered by what hinders all, and by what hinders only this process. */
    SimulatedStoreClient(SimulationEnvironment world, FakeKeyedStore store, StoreFaults shared) {
        this.world = world;
        this.store = store;
        this.shared = shared;
        this.own = new StoreFaults(world);
    }

    /** Gets what hinders only this process. */
    StoreFaults getOwnFaults() {
        return own;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<Long> appendAt(Topic topic, List<KeyedRecord> records, long end) {
        return call(() -> store.appendAt(topic, records, end));
    }

    @Override
    public CompletableFuture<Long> append(Topic topic, List<KeyedRecord> records, Writer writer) {
        return call(() -> store.append(topic, records, writer));
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return call(() -> store.fence(topic, epoch));
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        return call(() -> store.read(topic, from, waitMillis));
    }

    @Override
    public CompletableFuture<Long> readEnd(Topic topic) {
        return call(() -> store.readEnd(topic));
    }

    @Override
    public CompletableFuture<ReadResult> readNewest(Topic topic) {
        return call(() -> store.readNewest(topic));
    }

    // -----------------------------------------------------------------------
    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> effect) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        world.schedule(
                CALL_MILLIS,
                () -> answer.completeExceptionally(failure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN)));
        long away = Math.max(shared.getUnavailableMillis(), own.getUnavailableMillis());
        if (shared.isRefusing() || own.isRefusing()) {
            refuse(answer);
        } else if (away > 0) {
            callAway(away, effect, answer);
        } else {
            boolean slow = shared.isSlow() || own.isSlow();
            boolean loses = shared.isLosingAnswers() || own.isLosingAnswers();
            long pause = slow ? world.draw(150, 950) : world.draw(1, 4);
            boolean lost = loses && world.chance(LOST_PERCENT);
            world.schedule(pause, () -> act(effect, lost ? new CompletableFuture<>() : answer));
        }
        return answer;
    }

    private <T> void callAway(
            long away, Supplier<CompletableFuture<T>> effect, CompletableFuture<T> answer) {
        if (world.chance(LATE_PERCENT)) {
            long pause = away + world.draw(0, 2000);
            world.schedule(pause, () -> act(effect, new CompletableFuture<>()));
        } else if (world.chance(REFUSED_PERCENT)) {
            refuse(answer);
        }
    }

    private void refuse(CompletableFuture<?> answer) {
        StandlinkException refused = failure(ErrorCode.PLATFORM_UNAVAILABLE);
        world.schedule(world.draw(1, 4), () -> answer.completeExceptionally(refused));
    }

    private <T> void act(Supplier<CompletableFuture<T>> effect, CompletableFuture<T> answer) {
        effect.get()
                .whenComplete(
                        (value, failure) ->
                                world.schedule(
                                        world.draw(1, 4),
                                        () -> {
                                            if (failure == null) {
                                                answer.complete(value);
                                            } else {
                                                answer.completeExceptionally(failure);
                                            }
                                        }));
    }

    private static StandlinkException failure(ErrorCode code) {
        return new StandlinkException(code, "the simulated store", "see the test");
    }
}
