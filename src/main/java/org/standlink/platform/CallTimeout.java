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
package org.standlink.platform;

import java.util.concurrent.TimeUnit;

/**
 * The timeout of a call, which starts again while bytes are transferred: with the first byte of the
 * answer, and with each further block of the request or of the answer.
 *
 * <p>A transfer may therefore take as long as its length requires on a thin link, whereas a peer
 * that stops reading or sending is detected after one pause, and so is one that sends single bytes.
 *
 * <p>{@code CallTimeout} is confined to the thread of its call, except that its end may be read at
 * any time.
 */
final class CallTimeout {

    /** The number of bytes with which the timeout starts again. */
    static final int BLOCK_BYTES = 16_384;

    /** The maximum pause between two blocks, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 1000;

    /**
     * The rate at which a request is assumed to leave the socket's send buffer, in bytes per
     * millisecond: 1 Mbit/s.
     */
    private static final long MIN_SEND_RATE = 125;

    /** The maximum pause between two blocks, not longer than the timeout of the whole call. */
    private final long pauseNanos;

    /** When the timeout ends, by {@link System#nanoTime}. */
    private volatile long endNanos;

    /** The number of bytes since the timeout last started again. */
    private int blockBytes;

    private boolean answered;

    private CallTimeout(long millis) {
        this.pauseNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(millis, MAX_PAUSE_MILLIS));
        this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Starts a timeout.
     *
     * @param millis how long the peer may take until it sends the first byte of its answer, in
     *     milliseconds
     * @return the timeout
     */
    static CallTimeout ofMillis(long millis) {
        return new CallTimeout(millis);
    }

    /**
     * Gets the end of the timeout.
     *
     * @return when the timeout ends, by {@link System#nanoTime}
     */
    long getEndNanos() {
        return endNanos;
    }

    /**
     * Gets the time that remains.
     *
     * @return the time, in milliseconds; 0 or negative if the timeout has ended
     */
    long getRemainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
    }

    /**
     * Records that the kernel has accepted a part of the request.
     *
     * @param count the number of bytes
     */
    void bytesSent(int count) {
        bytesTransferred(count);
    }

    /**
     * Records that the kernel has accepted the whole request. Its last bytes may still have to
     * leave the send buffer.
     *
     * @param bufferedBytes the maximum number of these bytes
     */
    void requestSent(int bufferedBytes) {
        if (bufferedBytes > BLOCK_BYTES) {
            extend(pauseNanos + TimeUnit.MILLISECONDS.toNanos(bufferedBytes / MIN_SEND_RATE));
        }
    }

    /**
     * Records that a part of the answer was received.
     *
     * @param count the number of bytes
     */
    void bytesReceived(int count) {
        if (!answered) {
            answered = true;
            extend(pauseNanos);
        }
        bytesTransferred(count);
    }

    private void bytesTransferred(int count) {
        blockBytes += count;
        if (blockBytes >= BLOCK_BYTES) {
            blockBytes = 0;
            extend(pauseNanos);
        }
    }

    private void extend(long nanos) {
        long extended = System.nanoTime() + nanos;
        if (extended - endNanos > 0) {
            endNanos = extended;
        }
    }
}
