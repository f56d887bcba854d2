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
 * A store in memory that fails on demand. It behaves as the probe of the platform's store showed:
 * see the table in docs/PLATFORM.md's source, the starting design.
 */
public final class FakeKeyedStore implements KeyedStore {

    /** How calls behave. */
    public enum Mode {
        /** Calls are done and answered. */
        UP,
        /** Nothing is done, and calls are refused. */
        DOWN,
        /** Calls are done, but their answers are lost. */
        ANSWERS_LOST,
        /** Calls are done, and nothing is heard of them. */
        UNRESPONSIVE,
        /** Appends get no answer, and are done when the late ones are. */
        DELAYED,
        /** Appends are answered as if they were done, and are done when the late ones are. */
        ANSWERED_EARLY
    }

    private int mostRead = 1_000_000;

    private final List<Runnable> late = new ArrayList<>();

    private final Map<Topic, List<KeyedRecord>> topics = new EnumMap<>(Topic.class);
    private final Map<Topic, Epoch> epochs = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> sequences = new EnumMap<>(Topic.class);
    private Mode mode = Mode.UP;
    private int appends;
    private boolean historyDropped;
    private ScheduledExecutorService timers;
    private long silentMillis;
    private long refusalMillis;

    /** Sets how calls behave from now on. */
    public void setMode(Mode next) {
        mode = next;
    }

    /** Lets calls of which nothing is heard fail after a while, as those of a real client do. */
    public void failUnansweredCallsAfter(long millis, ScheduledExecutorService loop) {
        silentMillis = millis;
        timers = loop;
    }

    /** Lets refusals come after a while, as those of a real store do. */
    public void setRefusalDelay(long millis, ScheduledExecutorService loop) {
        refusalMillis = millis;
        timers = loop;
    }

    /** Sets how many records a read answers at most. */
    public void setMaxRecordsPerRead(int records) {
        mostRead = records;
    }

    /** Drops the history: only the newest record of each key can be read from now on. */
    public void dropHistory() {
        historyDropped = true;
    }

    /** Gets how many appends of a writer were tried. */
    public int getAppendCount() {
        return appends;
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
     * Does the appends that are late. Their epochs and numbers were looked at when they came, and
     * are not again; where the topic ends is.
     */
    public void executeDelayedAppends() {
        late.forEach(Runnable::run);
        late.clear();
    }

    private void doLater(Topic topic, List<KeyedRecord> added, AppendCondition writer) {
        late.add(
                () -> {
                    if (endsAt(topic, writer)) {
                        getRecords(topic).addAll(added);
                    }
                });
    }

    @Override
    public CompletableFuture<Long> append(
            Topic topic, List<KeyedRecord> added, AppendCondition writer) {
        appends++;
        if (mode == Mode.DELAYED) {
            doLater(topic, added, writer);
            return silence();
        }
        if (mode == Mode.ANSWERED_EARLY) {
            doLater(topic, added, writer);
            return CompletableFuture.completedFuture(
                    (long) getRecords(topic).size() + added.size());
        }
        return call(
                () -> {
                    raise(topic, writer.epoch());
                    long last = sequences.getOrDefault(topic, writer.sequence() - 1);
                    if (writer.sequence() > last + 1) {
                        throw failure(ErrorCode.INTERNAL);
                    }
                    if (writer.sequence() == last + 1) {
                        if (!endsAt(topic, writer)) {
                            throw failure(ErrorCode.CONDITION_FAILED);
                        }
                        sequences.put(topic, writer.sequence());
                        getRecords(topic).addAll(added);
                    }
                    return (long) getRecords(topic).size();
                });
    }

    @Override
    public CompletableFuture<Long> fence(Topic topic, Epoch epoch) {
        return call(
                () -> {
                    raise(topic, epoch);
                    return (long) getRecords(topic).size();
                });
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis) {
        return call(
                () -> {
                    if (historyDropped) {
                        throw failure(ErrorCode.LOG_GAP);
                    }
                    List<KeyedRecord> all = getRecords(topic);
                    int start = (int) Math.min(from, all.size());
                    int end = Math.min(all.size(), start + mostRead);
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

    private boolean endsAt(Topic topic, AppendCondition writer) {
        long expected = writer.expectedEnd();
        return expected == AppendCondition.ANY_END || getRecords(topic).size() == expected;
    }

    private void raise(Topic topic, Epoch epoch) {
        Epoch present = epochs.getOrDefault(topic, Epoch.NONE);
        if (epoch.compareTo(present) < 0) {
            throw failure(ErrorCode.EPOCH_FENCED);
        }
        if (epoch.compareTo(present) > 0) {
            epochs.put(topic, epoch);
            sequences.remove(topic);
        }
    }

    private <T> CompletableFuture<T> refusal() {
        StandlinkException refused = failure(ErrorCode.PLATFORM_UNAVAILABLE);
        if (refusalMillis == 0) {
            return CompletableFuture.failedFuture(refused);
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        timers.schedule(
                () -> {
                    answer.completeExceptionally(refused);
                },
                refusalMillis,
                TimeUnit.MILLISECONDS);
        return answer;
    }

    private <T> CompletableFuture<T> call(java.util.function.Supplier<T> effect) {
        if (mode == Mode.DOWN) {
            return refusal();
        }
        try {
            T value = effect.get();
            if (mode == Mode.UNRESPONSIVE) {
                return silence();
            }
            return mode == Mode.ANSWERS_LOST
                    ? CompletableFuture.failedFuture(failure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN))
                    : CompletableFuture.completedFuture(value);
        } catch (StandlinkException refused) {
            return CompletableFuture.failedFuture(refused);
        }
    }

    private <T> CompletableFuture<T> silence() {
        CompletableFuture<T> call = new CompletableFuture<>();
        if (timers != null) {
            timers.schedule(
                    () -> {
                        call.completeExceptionally(failure(ErrorCode.PLATFORM_OUTCOME_UNKNOWN));
                    },
                    silentMillis,
                    TimeUnit.MILLISECONDS);
        }
        return call;
    }

    private static StandlinkException failure(ErrorCode code) {
        return new StandlinkException(code, "the fake store", "see the test");
    }
}
