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

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.process.WorkFailures;

/**
 * Reads a topic for as long as the process runs: first the newest record of each key, then each new
 * record as it comes.
 *
 * <p>A record may be delivered more than once, and an older one after a newer one when history was
 * dropped meanwhile; the receiver must bear that. After such a loss the newest records are read
 * again, since the removal of a key may have been among what was dropped.
 *
 * <p>{@code TopicFollower} is thread-safe.
 */
public final class TopicFollower implements AutoCloseable {

    /**
     * How long a read waits for a record, in milliseconds. A connection may go silent for good, and
     * operators expect a version to be in force within 2,000 ms on each machine that has had 3,000
     * ms to recover; this, the time that a read may take longer, and a pause are 2,300. It costs
     * two reads each 1,500 ms for each process.
     */
    private static final long WAIT_MILLIS = 1500;

    /** The pause after a failed read, in milliseconds; five tries fit in the second wanted. */
    private static final long PAUSE_MILLIS = 200;

    /** The offset that says that nothing has been read. */
    private static final long NOTHING_READ = -1;

    /** The log. */
    private static final EventLog LOG = EventLog.of(TopicFollower.class);

    /** The store. */
    private final KeyedStore store;

    /** The topic. */
    private final Topic topic;

    /** The timers. */
    private final ScheduledExecutorService timers;

    /** Where records are handed on. */
    private final Executor executor;

    /** What receives records. */
    private final TopicReceiver receiver;

    /** The offset to read on from. */
    private volatile long position = NOTHING_READ;

    /** Whether the last read failed. */
    private volatile boolean failing;

    /** Whether this follower is closed. */
    private volatile boolean closed;

    /**
     * Constructor.
     *
     * @param store the store
     * @param topic the topic
     * @param timers the timers
     * @param executor where records are handed on, in order
     * @param receiver what receives records
     */
    public TopicFollower(
            KeyedStore store,
            Topic topic,
            ScheduledExecutorService timers,
            Executor executor,
            TopicReceiver receiver) {
        this.store = store;
        this.topic = topic;
        this.timers = timers;
        this.executor = executor;
        this.receiver = receiver;
    }

    /** Starts to read. */
    public void start() {
        readOn();
    }

    /**
     * Gets the offset to read on from.
     *
     * @return the offset, negative if nothing has been read
     */
    public long getPosition() {
        return position;
    }

    @Override
    public void close() {
        closed = true;
    }

    // -----------------------------------------------------------------------
    private void readOn() {
        if (closed) {
            return;
        }
        CompletableFuture<ReadResult> result =
                position == NOTHING_READ
                        ? store.readNewest(topic)
                        : store.read(topic, position, WAIT_MILLIS);
        Guarded.onCompletionInLoop(
                result,
                executor,
                (read, failure) ->
                        Guarded.work("follow", () -> handle(read, failure), this::readOnLater)
                                .run());
    }

    private void readOnLater() {
        timers.schedule(
                Guarded.work("follow", this::readOn, this::readOnLater),
                PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void handle(ReadResult result, Throwable failure) {
        if (failure != null) {
            handleFailure(failure);
            return;
        }
        if (failing) {
            failing = false;
            LOG.info("store-read-regained").with("topic", topic).write();
        }
        if (position == NOTHING_READ) {
            receiver.receiveNewest(result.records());
        } else {
            result.records().forEach(receiver::receive);
        }
        position = result.nextOffset();
        readOn();
    }

    private void handleFailure(Throwable failure) {
        Throwable cause = WorkFailures.unwrap(failure);
        if (cause instanceof Error error) {
            throw error;
        }
        if (cause instanceof StandlinkException known && known.getCode() == ErrorCode.LOG_GAP) {
            LOG.info("history-dropped").with("topic", topic).with("offset", position).write();
            position = NOTHING_READ;
            readOn();
            return;
        }
        if (!failing) {
            failing = true;
            LOG.warning("store-read-lost").with("topic", topic).with("cause", cause).write();
        }
        readOnLater();
    }
}
