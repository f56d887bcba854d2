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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.cell.LeaderAuthority.ClockReading;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.process.WorkFailures;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.ReadResult;
import org.standlink.store.Topic;
import org.standlink.store.Writer;

/**
 * Keeps the changes of a leader in the store, in order, one append at a time, and lets what depends
 * on them happen only then.
 *
 * <p>An append without an answer is repeated under the same number until the store has taken it or
 * says that a newer leader has written.
 *
 * <p>{@code CommitQueue} is not thread-safe; the leader's loop owns it.
 */
final class CommitQueue {

    /**
     * The most time between two appends, in milliseconds: four of them fit in the silence after
     * which a leader is replaced; two more calls a second than half as many would be are a
     * hundredth of all calls.
     */
    static final long HEARTBEAT_MILLIS = 250;

    /** How long an append may take before new work is refused, in milliseconds. */
    static final long STALL_TIMEOUT_MILLIS = 700;

    /** The pause before an append that was refused is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 100;

    /**
     * The time between two calls for one append without an answer, in milliseconds: an answer takes
     * 10, and a call whose answer is lost is only given up after 1,000. It is also how soon a store
     * that was silent is found again; leases that end before that cost the work of their runs.
     */
    static final long RETRY_INTERVAL_MILLIS = 100;

    /** The same as a multiple of what the last append took, in case the store is slow. */
    private static final long AGAIN_FACTOR = 4;

    /**
     * How many calls for one append may be under way at once: as many as fit at that pace into the
     * time after which a call is given up, so that one goes out at every step of a long silence.
     */
    static final int MAX_CONCURRENT_CALLS = 10;

    /** The key of the record that only says that the leader lives. */
    private static final String HEARTBEAT_KEY = "heartbeat";

    /** The log. */
    private static final EventLog LOG = EventLog.of(CommitQueue.class);

    /** The store. */
    private final KeyedStore store;

    /** The epoch of the leader. */
    private final Epoch epoch;

    /** The parts of the state. */
    private final List<ChangeSource> sources;

    /** Tells the time, and how long the store has been silent. */
    private final LeaderAuthority contact;

    /** The leader's loop. */
    private final Executor loop;

    /** The timers. */
    private final ScheduledExecutorService timers;

    /** What is told when a newer leader has written. */
    private final Runnable whenFenced;

    /** What happens after the next append. */
    private List<Runnable> waiting = new ArrayList<>();

    /** The number of the last append. */
    private long sequence;

    /** Where the topic ends, as far as this leader has written and read it. */
    private long end;

    /** When the append under way was begun; null if there is none. */
    private ClockReading begun;

    /** When the last call was made, on the steady clock, in milliseconds. */
    private long calledAt;

    /** How long the last append took that was taken, in milliseconds. */
    private long tookMillis;

    /** Whether the last append failed. */
    private boolean failing;

    /** Whether this queue is closed. */
    private boolean closed;

    /**
     * Constructor.
     *
     * @param store the store
     * @param epoch the epoch of the leader
     * @param sources the parts of the state
     * @param contact tells the time, and how long the store has been silent
     * @param loop the leader's loop
     * @param timers the timers
     * @param whenFenced what is told when a newer leader has written
     */
    CommitQueue(
            KeyedStore store,
            Epoch epoch,
            List<ChangeSource> sources,
            LeaderAuthority contact,
            Executor loop,
            ScheduledExecutorService timers,
            Runnable whenFenced) {
        this.store = store;
        this.epoch = epoch;
        this.sources = List.copyOf(sources);
        this.contact = contact;
        this.loop = loop;
        this.timers = timers;
        this.whenFenced = whenFenced;
    }

    /**
     * Sets where the topic ends, once the state has been read.
     *
     * @param offset the end up to which it was read
     */
    void setTopicEnd(long offset) {
        end = offset;
    }

    /**
     * Lets something happen once all changes so far have been kept.
     *
     * @param effect what happens
     */
    void afterCommit(Runnable effect) {
        waiting.add(effect);
    }

    /**
     * Begins an append if there is something to keep and none is under way. Whatever is thrown
     * meanwhile closes this queue, as the changes that were taken by then are lost.
     */
    void startAppend() {
        orClose(this::begin);
    }

    private void begin() {
        if (closed || begun != null) {
            return;
        }
        boolean beat = contact.getMillisSinceConfirmed() >= HEARTBEAT_MILLIS;
        if (sources.stream().noneMatch(ChangeSource::hasChanges) && !beat) {
            runEffects(takeWaiting());
            return;
        }
        List<KeyedRecord> records = new ArrayList<>();
        sources.forEach(source -> records.addAll(source.takeChanges()));
        if (records.isEmpty()) {
            byte[] number = Long.toString(sequence + 1).getBytes(StandardCharsets.US_ASCII);
            records.add(new KeyedRecord(HEARTBEAT_KEY, number));
        }
        sequence++;
        begun = contact.now();
        send(new PendingAppend(records, takeWaiting()));
    }

    /**
     * Gets how long ago the store took an append.
     *
     * @return the time since it was sent, in milliseconds
     */
    long getMillisSinceAppend() {
        return contact.getMillisSinceConfirmed();
    }

    /**
     * Checks whether the store does not take appends at the moment.
     *
     * @return true if the append under way takes too long
     */
    boolean isStalled() {
        return begun != null
                && contact.now().monotonicMillis() - begun.monotonicMillis() > STALL_TIMEOUT_MILLIS;
    }

    /** Ends this queue; effects that wait never happen. */
    void close() {
        closed = true;
    }

    // -----------------------------------------------------------------------
    private List<Runnable> takeWaiting() {
        List<Runnable> taken = waiting;
        waiting = new ArrayList<>();
        return taken;
    }

    /**
     * Sends an append, once more if no answer comes. The store counts it once, by its number; and
     * it is done only where the topic ends as it did before, so that a copy that is done late
     * brings no older state back, whatever the store looks at then.
     */
    private void send(PendingAppend append) {
        if (closed || append.isAccepted()) {
            return;
        }
        append.callStarted();
        ClockReading sent = contact.now();
        calledAt = sent.monotonicMillis();
        Guarded.thenIn(
                store.append(Topic.CELL, append.getRecords(), new Writer(epoch, sequence, end)),
                loop,
                (to, failure) -> orClose(() -> answered(append, sent, failure)));
        sendAgainLater(append, Math.max(RETRY_INTERVAL_MILLIS, AGAIN_FACTOR * tookMillis));
    }

    /** Lets one more call follow the last one, unless another one has by then. */
    private void sendAgainLater(PendingAppend append, long millis) {
        int last = append.getLastCallNumber();
        later(
                () -> {
                    if (append.getLastCallNumber() == last
                            && append.getCallsInFlight() < MAX_CONCURRENT_CALLS) {
                        send(append);
                    }
                },
                millis);
    }

    private void later(Runnable work, long millis) {
        timers.schedule(() -> loop.execute(() -> orClose(work)), millis, TimeUnit.MILLISECONDS);
    }

    private void answered(PendingAppend append, ClockReading sent, Throwable failure) {
        append.callFinished();
        if (append.isAccepted() || closed) {
            return;
        }
        if (failure == null) {
            tookMillis = contact.now().monotonicMillis() - sent.monotonicMillis();
        }
        boolean repeated = append.getLastCallNumber() > 1;
        if (failure == null && !repeated) {
            taken(append, sent);
        } else if (repeated
                && (failure == null
                        || StoreFailureClassifier.codeOf(failure) == ErrorCode.CONDITION_FAILED)) {
            // Only a number that is answered shows that no newer leader had begun by then.
            confirm(append, failure == null ? sent : begun);
        } else {
            failed(append, failure);
        }
    }

    /**
     * Reads an append back that was called for more than once: the answer may be to a number that
     * the store has seen, before what came under it is done, or that the topic has moved on. Costs
     * one read for each append whose answer takes longer than the others.
     */
    private void confirm(PendingAppend append, ClockReading since) {
        if (!append.isReadingBack()) {
            append.setReadingBack(true);
            Guarded.thenIn(
                    store.read(Topic.CELL, end, 0),
                    loop,
                    (read, failure) -> orClose(() -> confirmed(append, since, read, failure)));
        }
    }

    private void confirmed(
            PendingAppend append, ClockReading since, ReadResult read, Throwable failure) {
        append.setReadingBack(false);
        if (append.isAccepted() || closed) {
            return;
        }
        StoreFailureClassifier.rethrowDefect(failure);
        if (StoreFailureClassifier.codeOf(failure) == ErrorCode.LOG_GAP) {
            // What became of it cannot be read any more; the next leader reads the state anew.
            end(WorkFailures.causeOf(failure));
        } else if (read == null || read.records().isEmpty()) {
            later(() -> confirmAgain(append, since), PAUSE_MILLIS);
        } else if (append.matches(read.records())) {
            taken(append, since);
        } else {
            end("another leader has written");
        }
    }

    private void confirmAgain(PendingAppend append, ClockReading since) {
        if (!append.isAccepted() && !closed) {
            confirm(append, since);
        }
    }

    private void taken(PendingAppend append, ClockReading sent) {
        append.markAccepted();
        end += append.getRecords().size();
        if (failing) {
            failing = false;
            LOG.info("store-regained").with("after", contact.getMillisSinceConfirmed()).write();
        }
        contact.appendAccepted(sent);
        begun = null;
        sources.forEach(ChangeSource::markPersisted);
        runEffects(append.getCallbacks());
        startAppend();
    }

    private void runEffects(List<Runnable> effects) {
        for (Runnable effect : effects) {
            if (!closed) {
                effect.run();
            }
        }
    }

    /** Closes this queue if a step throws, before anything that waits can take effect. */
    private void orClose(Runnable step) {
        boolean done = false;
        try {
            step.run();
            done = true;
        } finally {
            if (!done) {
                close();
            }
        }
    }

    private void end(Object cause) {
        LOG.info("append-refused").with("epoch", epoch).with("cause", cause).write();
        close();
        whenFenced.run();
    }

    private void failed(PendingAppend append, Throwable failure) {
        StoreFailureClassifier.rethrowDefect(failure);
        Throwable cause = WorkFailures.causeOf(failure);
        ErrorCode code = StoreFailureClassifier.codeOf(failure);
        boolean overtaken =
                code == ErrorCode.EPOCH_FENCED
                        || code == ErrorCode.INTERNAL
                        || code == ErrorCode.CONDITION_FAILED;
        if (overtaken) {
            end(cause);
            return;
        }
        if (!failing) {
            failing = true;
            LOG.warning("store-lost").with("sequence", sequence).with("cause", cause).write();
        }
        if (append.getCallsInFlight() == 0) {
            sendAgainLater(append, PAUSE_MILLIS);
        } else if (append.getCallsInFlight() == MAX_CONCURRENT_CALLS - 1) {
            // All that may be were under way, so none was to follow the last one. At a pace: a
            // store that refuses answers at once, and each answer leads here again.
            long since = contact.now().monotonicMillis() - calledAt;
            sendAgainLater(append, Math.max(0, RETRY_INTERVAL_MILLIS - since));
        }
    }
}
