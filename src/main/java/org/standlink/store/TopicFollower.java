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
 * Follows a topic until it is closed: reads the newest record of each key first, then each new
 * record.
 *
 * <p>A record may be delivered more than once. An older record may be delivered after a newer one
 * if history was dropped in between; the receiver must tolerate both. After such a gap the newest
 * records are read again, since the dropped records may include the removal of a key.
 *
 * <p>{@code TopicFollower} is thread-safe.
 */
public final class TopicFollower implements AutoCloseable {

    /**
     * The time that a read waits for a record, in milliseconds. A connection may stop responding
     * permanently, and operators expect a version to be in force within 2,000 ms on each machine
     * that has had 3,000 ms to recover. This wait, the additional time that a read may take, and
     * the retry delay add up to 2,300 ms. The cost is two reads per process every 1,500 ms.
     */
    private static final long READ_TIMEOUT_MILLIS = 1500;

    /** The delay after a failed read, in milliseconds; allows five attempts per second. */
    private static final long RETRY_DELAY_MILLIS = 200;

    /** The position before the first read and after a gap. */
    private static final long NO_POSITION = -1;

    private static final EventLog LOG = EventLog.of(TopicFollower.class);

    private final KeyedStore store;

    private final Topic topic;

    private final ScheduledExecutorService timers;

    private final Executor executor;

    private final TopicReceiver receiver;

    /** The offset of the next read. */
    private volatile long position = NO_POSITION;

    /** Whether the last read failed. */
    private volatile boolean failing;

    private volatile boolean closed;

    /**
     * Creates a follower that is not started.
     *
     * @param store the store
     * @param topic the topic
     * @param timers schedules retries
     * @param executor runs the receiver
     * @param receiver receives the records
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

    /** Starts reading. */
    public void start() {
        readNext();
    }

    /**
     * Gets the offset of the next read.
     *
     * @return the offset, negative before the first read has succeeded and after a gap
     */
    public long getPosition() {
        return position;
    }

    @Override
    public void close() {
        closed = true;
    }

    // -----------------------------------------------------------------------
    private void readNext() {
        if (closed) {
            return;
        }
        CompletableFuture<ReadResult> result =
                position == NO_POSITION
                        ? store.readNewest(topic)
                        : store.read(topic, position, READ_TIMEOUT_MILLIS);
        Guarded.onCompletionInLoop(
                result,
                executor,
                (read, failure) ->
                        Guarded.work("follow", () -> handle(read, failure), this::scheduleRetry)
                                .run());
    }

    private void scheduleRetry() {
        timers.schedule(
                Guarded.work("follow", this::readNext, this::scheduleRetry),
                RETRY_DELAY_MILLIS,
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
        if (position == NO_POSITION) {
            receiver.receiveNewest(result.records());
        } else {
            result.records().forEach(receiver::receive);
        }
        position = result.nextOffset();
        readNext();
    }

    private void handleFailure(Throwable failure) {
        Throwable cause = WorkFailures.unwrap(failure);
        if (cause instanceof Error error) {
            throw error;
        }
        if (cause instanceof StandlinkException known && known.getCode() == ErrorCode.LOG_GAP) {
            LOG.info("history-dropped").with("topic", topic).with("offset", position).write();
            position = NO_POSITION;
            readNext();
            return;
        }
        if (!failing) {
            failing = true;
            LOG.warning("store-read-lost").with("topic", topic).with("cause", cause).write();
        }
        scheduleRetry();
    }
}
