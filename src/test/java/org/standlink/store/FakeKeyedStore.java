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

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * A store in memory that fails on demand. Its behaviour follows a test of the platform's store,
 * whose results are in the table in the source of docs/PLATFORM.md, under the starting design. As
 * the platform's pages say, one of the last five appends of an epoch gets its first answer again.
 */
public final class FakeKeyedStore implements KeyedStore {

    /** The behaviour of calls. */
    public enum Mode {
        /** Calls are executed and answered. */
        UP,
        /** Calls are refused and not executed. */
        DOWN,
        /** Calls are executed, but fail because their answers are lost. */
        ANSWERS_LOST,
        /** Calls are executed, but neither answered nor failed until they time out. */
        UNRESPONSIVE,
        /** Appends are not answered, and are executed with the delayed appends. */
        DELAYED,
        /**
         * Appends are answered as if they were executed, and are executed with the delayed ones.
         */
        ANSWERED_EARLY
    }

    /** The number of appends whose first answer is given again. */
    private static final int REPEATED_ANSWERS = 5;

    private int maxRecordsPerRead = 1_000_000;

    private StoreLimits limits = StoreLimits.DEFAULT;

    private final List<Runnable> delayedAppends = new ArrayList<>();

    private final Map<Topic, List<KeyedRecord>> topics = new EnumMap<>(Topic.class);
    private final Map<Topic, Epoch> epochs = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> sequences = new EnumMap<>(Topic.class);

    /** The answers to the last appends of the present epoch, by their sequence numbers. */
    private final Map<Topic, Map<Long, Long>> firstAnswers = new EnumMap<>(Topic.class);

    private Mode mode = Mode.UP;
    private int appendCount;

    /** The first offset of each topic that can still be read; 0 if none is listed. */
    private final Map<Topic, Integer> firstRetained = new EnumMap<>(Topic.class);

    private ScheduledExecutorService timers;
    private long callTimeoutMillis;
    private long refusalDelayMillis;

    /** Sets the behaviour of calls from now on. */
    public void setMode(Mode next) {
        mode = next;
    }

    /** Sets the timeout after which unanswered calls fail, as those of a real client do. */
    public void failUnansweredCallsAfter(long millis, ScheduledExecutorService loop) {
        callTimeoutMillis = millis;
        timers = loop;
    }

    /** Sets the delay of refusals, as a real store has one. */
    public void setRefusalDelay(long millis, ScheduledExecutorService loop) {
        refusalDelayMillis = millis;
        timers = loop;
    }

    @Override
    public StoreLimits getLimits() {
        return limits;
    }

    /** Sets the largest records and appends; larger ones are refused. */
    public void setLimits(StoreLimits largest) {
        limits = largest;
    }

    private void checkLength(List<KeyedRecord> added) {
        int length = 0;
        for (KeyedRecord record : added) {
            if (StoreLimits.lengthOf(record) > limits.recordBytes()) {
                throw failure(ErrorCode.PLATFORM_UNAVAILABLE);
            }
            length += StoreLimits.lengthOf(record);
        }
        if (length > limits.callBytes()) {
            throw failure(ErrorCode.PLATFORM_UNAVAILABLE);
        }
    }

    /** Sets the maximum number of records that a read returns. */
    public void setMaxRecordsPerRead(int records) {
        maxRecordsPerRead = records;
    }

    /** Drops the history: only the newest record of each key and later records can be read. */
    public void dropHistory() {
        topics.forEach((topic, records) -> firstRetained.put(topic, records.size()));
    }

    /** Gets the number of appends attempted under a condition of a writer. */
    public int getAppendCount() {
        return appendCount;
    }

    /** Gets all records of a topic. */
    public List<KeyedRecord> getRecords(Topic topic) {
        return topics.computeIfAbsent(topic, key -> new ArrayList<>());
    }

    @Override
    public CompletableFuture<Long> appendAt(Topic topic, List<KeyedRecord> added, long end) {
        return call(
                () -> {
                    if (getRecords(topic).size() != end) {
                        throw failure(ErrorCode.CONDITION_FAILED);
                    }
                    getRecords(topic).addAll(added);
                    return (long) getRecords(topic).size();
                });
    }

    /**
     * Executes the delayed appends. The epochs and sequence numbers are not checked, as if that was
     * done on arrival; the end of the topic is.
     */
    public void executeDelayedAppends() {
        delayedAppends.forEach(Runnable::run);
        delayedAppends.clear();
    }

    private void delayAppend(Topic topic, List<KeyedRecord> added, AppendCondition condition) {
        delayedAppends.add(
                () -> {
                    if (matchesEnd(topic, condition)) {
                        getRecords(topic).addAll(added);
                    }
                });
    }

    @Override
    public CompletableFuture<Long> append(
            Topic topic, List<KeyedRecord> added, AppendCondition condition) {
        appendCount++;
        if (mode == Mode.DELAYED) {
            delayAppend(topic, added, condition);
            return newUnansweredCall();
        }
        if (mode == Mode.ANSWERED_EARLY) {
            delayAppend(topic, added, condition);
            return CompletableFuture.completedFuture(
                    (long) getRecords(topic).size() + added.size());
        }
        return call(
                () -> {
                    checkLength(added);
                    raiseEpoch(topic, condition.epoch());
                    Long firstAnswer = answersOf(topic).get(condition.sequence());
                    if (firstAnswer != null) {
                        return firstAnswer;
                    }
                    long last = sequences.getOrDefault(topic, condition.sequence() - 1);
                    if (condition.sequence() != last + 1) {
                        throw failure(ErrorCode.EPOCH_SHARED);
                    }
                    if (!matchesEnd(topic, condition)) {
                        throw failure(ErrorCode.CONDITION_FAILED);
                    }
                    sequences.put(topic, condition.sequence());
                    getRecords(topic).addAll(added);
                    long end = getRecords(topic).size();
                    answersOf(topic).put(condition.sequence(), end);
                    answersOf(topic).remove(condition.sequence() - REPEATED_ANSWERS);
                    return end;
                });
    }

    private Map<Long, Long> answersOf(Topic topic) {
        return firstAnswers.computeIfAbsent(topic, key -> new HashMap<>());
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return call(
                () -> {
                    raiseEpoch(topic, epoch);
                    return (long) getRecords(topic).size();
                });
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        return call(
                () -> {
                    if (from < firstRetained.getOrDefault(topic, 0)) {
                        throw failure(ErrorCode.LOG_GAP);
                    }
                    List<KeyedRecord> all = getRecords(topic);
                    int start = (int) Math.min(from, all.size());
                    int end = Math.min(all.size(), start + maxRecordsPerRead);
                    return new ReadResult(end, List.copyOf(all.subList(start, end)));
                });
    }

    @Override
    public CompletableFuture<Long> readEnd(Topic topic) {
        return call(() -> (long) getRecords(topic).size());
    }

    @Override
    public CompletableFuture<ReadResult> readNewest(Topic topic) {
        return call(
                () -> {
                    Map<String, KeyedRecord> newest = new LinkedHashMap<>();
                    for (KeyedRecord record : getRecords(topic)) {
                        newest.remove(record.key());
                        if (record.value().length > 0) {
                            newest.put(record.key(), record);
                        }
                    }
                    return new ReadResult(
                            getRecords(topic).size(), new ArrayList<>(newest.values()));
                });
    }

    private boolean matchesEnd(Topic topic, AppendCondition condition) {
        long expected = condition.expectedEnd();
        return expected == AppendCondition.ANY_END || getRecords(topic).size() == expected;
    }

    private void raiseEpoch(Topic topic, Epoch epoch) {
        Epoch current = epochs.getOrDefault(topic, Epoch.NONE);
        if (epoch.compareTo(current) < 0) {
            throw failure(ErrorCode.EPOCH_FENCED);
        }
        if (epoch.compareTo(current) > 0) {
            epochs.put(topic, epoch);
            sequences.remove(topic);
            firstAnswers.remove(topic);
        }
    }

    private <T> CompletableFuture<T> newRefusal() {
        StandlinkException rejection = failure(ErrorCode.PLATFORM_UNAVAILABLE);
        if (refusalDelayMillis == 0) {
            return CompletableFuture.failedFuture(rejection);
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        timers.schedule(
                () -> {
                    answer.completeExceptionally(rejection);
                },
                refusalDelayMillis,
                TimeUnit.MILLISECONDS);
        return answer;
    }

    private <T> CompletableFuture<T> call(java.util.function.Supplier<T> effect) {
        if (mode == Mode.DOWN) {
            return newRefusal();
        }
        try {
            T value = effect.get();
            if (mode == Mode.UNRESPONSIVE) {
                return newUnansweredCall();
            }
            return mode == Mode.ANSWERS_LOST
                    ? CompletableFuture.failedFuture(failure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN))
                    : CompletableFuture.completedFuture(value);
        } catch (StandlinkException rejection) {
            return CompletableFuture.failedFuture(rejection);
        }
    }

    private <T> CompletableFuture<T> newUnansweredCall() {
        CompletableFuture<T> call = new CompletableFuture<>();
        if (timers != null) {
            timers.schedule(
                    () -> {
                        call.completeExceptionally(failure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN));
                    },
                    callTimeoutMillis,
                    TimeUnit.MILLISECONDS);
        }
        return call;
    }

    private static StandlinkException failure(ErrorCode code) {
        return new StandlinkException(code, "the fake store", "see the test");
    }
}
