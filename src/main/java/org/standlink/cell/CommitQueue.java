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

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.cell.LeaderAuthority.ClockReading;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.process.WorkFailures;
import org.standlink.store.AppendCondition;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;

/**
 * Persists the changes of a leader in the store, in order and one append at a time, and runs the
 * actions that depend on them only once they are durable.
 *
 * <p>An append without an answer is repeated under the same number until the store has accepted it
 * or reports that a newer leader has written, or until its outcome can no longer be read. If
 * another leader writes under the same epoch, an exception ends this one. Not each of these ends
 * proves that there is a newer claim, so the leader's own has to be vacated.
 *
 * <p>{@code CommitQueue} is not thread-safe; it is confined to the leader's event loop.
 */
final class CommitQueue {

    /**
     * The maximum time between two appends, in milliseconds. Four of them fit into the silence
     * after which a leader is replaced. Compared with half this rate it costs two more calls a
     * second, a hundredth of all calls.
     */
    static final long HEARTBEAT_MILLIS = 250;

    /** How long an append may take before new work is rejected, in milliseconds. */
    static final long STALL_TIMEOUT_MILLIS = 700;

    /** The pause before a rejected append or an empty read is repeated, in milliseconds. */
    private static final long RETRY_PAUSE_MILLIS = 100;

    /**
     * The maximum number of calls in flight for one append: as many as fit at the retry interval
     * into the timeout of a call, so that a call is sent at each interval of a long outage.
     */
    static final int MAX_CONCURRENT_CALLS = 10;

    private static final EventLog LOG = EventLog.of(CommitQueue.class);

    private final KeyedStore store;
    private final WriterId writer;

    /** The parts of the state that are persisted. */
    private final List<ChangeSource> sources;

    private final LeaderAuthority authority;
    private final Executor loop;
    private final ScheduledExecutorService timers;

    /** Called when this leader can write no more: it is superseded, or its last append unknown. */
    private final Runnable fenceListener;

    /** The actions to run after the next append. */
    private List<Runnable> waitingActions = new ArrayList<>();

    /** The records that are still to be appended before further changes are taken. */
    private final AppendBatches batches;

    /** The number of the last append. */
    private long sequence;

    /** The end of the topic, as far as this leader has written and read it. */
    private long topicEnd;

    /** When the append in progress was started; null if there is none. */
    private ClockReading startedAt;

    /** When the last call was sent, on the monotonic clock, in milliseconds. */
    private long lastCallMillis;

    private final RepetitionInterval repetition = new RepetitionInterval();

    /** Whether a call has failed since the last append was accepted. */
    private boolean failing;

    private boolean closed;

    /**
     * Creates an empty queue that writes to a store.
     *
     * @param writer the leader, whose epoch no other writer uses
     * @param sources the parts of the state that are persisted
     * @param authority reads the clocks, and records accepted appends
     * @param fenceListener called when a newer leader has written, or when the outcome of an append
     *     can no longer be read
     */
    CommitQueue(
            KeyedStore store,
            WriterId writer,
            List<ChangeSource> sources,
            LeaderAuthority authority,
            Executor loop,
            ScheduledExecutorService timers,
            Runnable fenceListener) {
        this.store = store;
        this.writer = writer;
        this.sequence = writer.initialSequence();
        this.sources = List.copyOf(sources);
        this.batches = new AppendBatches(store.getLimits());
        this.authority = authority;
        this.loop = loop;
        this.timers = timers;
        this.fenceListener = fenceListener;
    }

    /**
     * Sets the end of the topic once the state has been read.
     *
     * @param offset the offset up to which the state was read
     */
    void setTopicEnd(long offset) {
        topicEnd = offset;
    }

    /**
     * Runs an action once all changes so far are durable.
     *
     * @param action the action
     */
    void afterCommit(Runnable action) {
        waitingActions.add(action);
    }

    /**
     * Starts an append if there are changes to persist and no append is in progress. An exception
     * closes this queue, since the changes that were taken from their sources by then are lost.
     */
    void startAppend() {
        closeOnFailure(this::appendChanges);
    }

    private void appendChanges() {
        if (closed || startedAt != null) {
            return;
        }
        boolean heartbeatDue = authority.getMillisSinceConfirmed() >= HEARTBEAT_MILLIS;
        if (sources.stream().noneMatch(ChangeSource::hasChanges) && !heartbeatDue) {
            runActions(takeWaitingActions());
            return;
        }
        List<KeyedRecord> records = new ArrayList<>();
        sources.forEach(source -> records.addAll(source.takeChanges()));
        batches.set(records, takeWaitingActions());
        appendNextBatch();
    }

    private void appendNextBatch() {
        sequence++;
        startedAt = authority.now();
        send(batches.takeNext(sequence));
    }

    /**
     * Gets the time since the store accepted an append.
     *
     * @return the time since that append was sent, in milliseconds
     */
    long getMillisSinceAppend() {
        return authority.getMillisSinceConfirmed();
    }

    /**
     * Checks whether the store is not accepting appends at the moment.
     *
     * @return true if the append in progress is taking too long
     */
    boolean isStalled() {
        return startedAt != null
                && authority.now().monotonicMillis() - startedAt.monotonicMillis()
                        > STALL_TIMEOUT_MILLIS;
    }

    /** Closes this queue; waiting actions never run. */
    void close() {
        closed = true;
    }

    // -----------------------------------------------------------------------
    private List<Runnable> takeWaitingActions() {
        List<Runnable> taken = waitingActions;
        waitingActions = new ArrayList<>();
        return taken;
    }

    /**
     * Sends an append, and once more if no answer comes. The store applies it once, by its number,
     * and only where the topic ends as it did before: a copy that is applied late cannot bring back
     * an older state, whatever the store checks by then.
     */
    private void send(PendingAppend append) {
        if (closed || append.isAccepted()) {
            return;
        }
        append.callStarted();
        ClockReading sent = authority.now();
        lastCallMillis = sent.monotonicMillis();
        Guarded.onCompletionInLoop(
                store.append(
                        Topic.CELL,
                        append.getRecords(),
                        new AppendCondition(writer.epoch(), sequence, topicEnd)),
                loop,
                (newEnd, failure) ->
                        closeOnFailure(() -> handleAnswer(append, sent, newEnd, failure)));
        scheduleRetry(append, repetition.getMillis(append.getLength()));
    }

    /** Schedules one more call, unless another one has been sent by then. */
    private void scheduleRetry(PendingAppend append, long millis) {
        int lastCall = append.getLastCallNumber();
        schedule(
                () -> {
                    if (append.getLastCallNumber() == lastCall
                            && append.getCallsInFlight() < MAX_CONCURRENT_CALLS) {
                        send(append);
                    }
                },
                millis);
    }

    private void schedule(Runnable work, long millis) {
        timers.schedule(
                () -> loop.execute(() -> closeOnFailure(work)), millis, TimeUnit.MILLISECONDS);
    }

    private void handleAnswer(
            PendingAppend append, ClockReading sent, Long newEnd, Throwable failure) {
        append.callFinished();
        if (append.isAccepted() || closed) {
            return;
        }
        if (failure == null) {
            long durationMillis = authority.now().monotonicMillis() - sent.monotonicMillis();
            repetition.callAnswered(durationMillis, append.getLength());
        }
        boolean repeated = append.getLastCallNumber() > 1;
        if (failure == null && !repeated) {
            checkEnd(append, newEnd);
            complete(append, sent);
        } else if (repeated
                && (failure == null
                        || StoreFailureClassifier.codeOf(failure) == ErrorCode.CONDITION_FAILED)) {
            // Only an accepted number proves that no newer leader had started before the call.
            readBack(append, failure == null ? sent : startedAt);
        } else {
            handleFailure(append, failure);
        }
    }

    /** Checks the answer to an append that was sent once; it may be that to another writer's. */
    private void checkEnd(PendingAppend append, long newEnd) {
        long expectedEnd = topicEnd + append.getRecords().size();
        if (newEnd != expectedEnd) {
            throw new StandlinkException(
                    ErrorCode.EPOCH_SHARED,
                    "append " + sequence + " ended at " + newEnd + " instead of " + expectedEnd,
                    "claim a higher epoch");
        }
    }

    /**
     * Reads back an append that was sent more than once. Its answer may say only that the store has
     * seen the number, before the records under that number are written, or that the end of the
     * topic has moved. This costs one read for each append whose answer takes longer than usual.
     */
    private void readBack(PendingAppend append, ClockReading since) {
        if (!append.isReadingBack()) {
            append.setReadingBack(true);
            Guarded.onCompletionInLoop(
                    store.read(Topic.CELL, topicEnd, 0),
                    loop,
                    (read, failure) ->
                            closeOnFailure(() -> handleReadBack(append, since, read, failure)));
        }
    }

    private void handleReadBack(
            PendingAppend append, ClockReading since, ReadResult read, Throwable failure) {
        append.setReadingBack(false);
        if (append.isAccepted() || closed) {
            return;
        }
        StoreFailureClassifier.rethrowDefect(failure);
        if (StoreFailureClassifier.codeOf(failure) == ErrorCode.LOG_GAP) {
            // Its outcome can no longer be read; the next leader reads the state again.
            handleFenced(WorkFailures.unwrap(failure));
        } else if (read == null || read.records().isEmpty()) {
            schedule(() -> retryReadBack(append, since), RETRY_PAUSE_MILLIS);
        } else if (append.matches(read.records())) {
            complete(append, since);
        } else {
            handleFenced("another leader has written");
        }
    }

    private void retryReadBack(PendingAppend append, ClockReading since) {
        if (!append.isAccepted() && !closed) {
            readBack(append, since);
        }
    }

    private void complete(PendingAppend append, ClockReading sent) {
        append.markAccepted();
        topicEnd += append.getRecords().size();
        if (failing) {
            failing = false;
            LOG.info("store-regained").with("after", authority.getMillisSinceConfirmed()).write();
        }
        authority.appendAccepted(sent);
        if (!batches.isEmpty()) {
            appendNextBatch();
            return;
        }
        startedAt = null;
        sources.forEach(ChangeSource::markPersisted);
        runActions(append.getCallbacks());
        startAppend();
    }

    private void runActions(List<Runnable> actions) {
        for (Runnable action : actions) {
            if (!closed) {
                action.run();
            }
        }
    }

    /** Closes this queue if a step throws, before any waiting action can run. */
    private void closeOnFailure(Runnable step) {
        boolean completed = false;
        try {
            step.run();
            completed = true;
        } finally {
            if (!completed) {
                close();
            }
        }
    }

    private void handleFenced(Object cause) {
        LOG.info("append-refused").with("epoch", writer.epoch()).with("cause", cause).write();
        close();
        fenceListener.run();
    }

    private void handleFailure(PendingAppend append, Throwable failure) {
        StoreFailureClassifier.rethrowDefect(failure);
        Throwable cause = WorkFailures.unwrap(failure);
        ErrorCode code = StoreFailureClassifier.codeOf(failure);
        if (code == ErrorCode.EPOCH_FENCED || code == ErrorCode.CONDITION_FAILED) {
            handleFenced(cause);
            return;
        }
        if (!failing) {
            failing = true;
            LOG.warning("store-lost").with("sequence", sequence).with("cause", cause).write();
        }
        if (append.getCallsInFlight() == 0) {
            scheduleRetry(append, RETRY_PAUSE_MILLIS);
        } else if (append.getCallsInFlight() == MAX_CONCURRENT_CALLS - 1) {
            // The maximum number of calls was in flight, so no repetition of the last one was
            // scheduled. The interval is kept because a store that rejects calls answers at once,
            // and each answer leads here again.
            long since = authority.now().monotonicMillis() - lastCallMillis;
            scheduleRetry(append, Math.max(0, repetition.getMillis(append.getLength()) - since));
        }
    }
}
