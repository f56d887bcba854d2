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
import org.standlink.store.AppendCondition;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;

/**
 * The store client of one simulated process. Calls can be refused, take long, lose their answers,
 * or be executed after they have timed out.
 */
final class SimulatedStoreClient implements KeyedStore {

    private static final long CALL_TIMEOUT_MILLIS = 1000;
    private static final long POLL_MILLIS = 20;
    private static final int LOST_PERCENT = 60;
    private static final int DELAYED_PERCENT = 25;
    private static final int REFUSED_PERCENT = 30;

    private final SimulationEnvironment environment;
    private final FakeKeyedStore store;
    private final StoreFaults sharedFaults;
    private final StoreFaults ownFaults;
    private long claimDelayMillis;

    /** Creates a client affected by the faults of all processes and by those of its own process. */
    SimulatedStoreClient(
            SimulationEnvironment environment, FakeKeyedStore store, StoreFaults sharedFaults) {
        this.environment = environment;
        this.store = store;
        this.sharedFaults = sharedFaults;
        this.ownFaults = new StoreFaults(environment);
    }

    /** Gets the faults that affect only this process. */
    StoreFaults getOwnFaults() {
        return ownFaults;
    }

    /** Executes claims and resignations from now on only after a time, and does not answer them. */
    void delayClaims(long millis) {
        claimDelayMillis = millis;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<Long> appendAt(Topic topic, List<KeyedRecord> records, long end) {
        if (claimDelayMillis == 0) {
            return call(() -> store.appendAt(topic, records, end));
        }
        environment.schedule(claimDelayMillis, () -> store.appendAt(topic, records, end));
        return call(CompletableFuture::new);
    }

    @Override
    public CompletableFuture<Long> append(
            Topic topic, List<KeyedRecord> records, AppendCondition condition) {
        return call(() -> store.append(topic, records, condition));
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return call(() -> store.fence(topic, epoch));
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        if (waitMillis < POLL_MILLIS) {
            return call(() -> store.read(topic, from, waitMillis));
        }
        // Whether there is a record is only checked at the end of this time.
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        environment.schedule(
                POLL_MILLIS,
                () ->
                        call(() -> store.read(topic, from, 0))
                                .whenComplete(
                                        (read, failure) -> {
                                            if (failure == null) {
                                                answer.complete(read);
                                            } else {
                                                answer.completeExceptionally(failure);
                                            }
                                        }));
        return answer;
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
    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> operation) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        environment.schedule(
                CALL_TIMEOUT_MILLIS,
                () -> answer.completeExceptionally(newFailure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN)));
        long unavailableMillis =
                Math.max(sharedFaults.getUnavailableMillis(), ownFaults.getUnavailableMillis());
        if (sharedFaults.isRefusing() || ownFaults.isRefusing()) {
            refuse(answer);
        } else if (unavailableMillis > 0) {
            callWhileUnavailable(unavailableMillis, operation, answer);
        } else {
            boolean slow = sharedFaults.isSlow() || ownFaults.isSlow();
            boolean losingAnswers = sharedFaults.isLosingAnswers() || ownFaults.isLosingAnswers();
            long delayMillis = slow ? environment.draw(150, 950) : environment.draw(1, 4);
            boolean answerLost = losingAnswers && environment.chance(LOST_PERCENT);
            environment.schedule(
                    delayMillis,
                    () -> execute(operation, answerLost ? new CompletableFuture<>() : answer));
        }
        return answer;
    }

    private <T> void callWhileUnavailable(
            long unavailableMillis,
            Supplier<CompletableFuture<T>> operation,
            CompletableFuture<T> answer) {
        if (environment.chance(DELAYED_PERCENT)) {
            long delayMillis = unavailableMillis + environment.draw(0, 2000);
            environment.schedule(delayMillis, () -> execute(operation, new CompletableFuture<>()));
        } else if (environment.chance(REFUSED_PERCENT)) {
            refuse(answer);
        }
    }

    private void refuse(CompletableFuture<?> answer) {
        StandlinkException refused = newFailure(ErrorCode.PLATFORM_UNAVAILABLE);
        environment.schedule(environment.draw(1, 4), () -> answer.completeExceptionally(refused));
    }

    private <T> void execute(
            Supplier<CompletableFuture<T>> operation, CompletableFuture<T> answer) {
        operation
                .get()
                .whenComplete(
                        (value, failure) ->
                                environment.schedule(
                                        environment.draw(1, 4),
                                        () -> {
                                            if (failure == null) {
                                                answer.complete(value);
                                            } else {
                                                answer.completeExceptionally(failure);
                                            }
                                        }));
    }

    private static StandlinkException newFailure(ErrorCode code) {
        return new StandlinkException(code, "simulated store fault", "see the test");
    }
}
