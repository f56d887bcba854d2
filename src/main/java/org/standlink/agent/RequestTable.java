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
package org.standlink.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.standlink.Incarnation;
import org.standlink.RequestId;
import org.standlink.wire.ForwardAnswer;

/**
 * The outcomes of the requests that this agent has received, so that "not run" is only reported
 * when it is certain.
 *
 * <p>Each attempt of an entry to forward a request has an id of its own. If the outcome of an id is
 * queried before the request arrives, the id is barred: the request is refused when it arrives
 * later. The oldest outcomes are evicted. Of the evicted ids, the highest number of each entry is
 * recorded; the outcome of an id up to that number that is not in the table is unknown.
 *
 * <p>{@code RequestTable} is thread-safe.
 */
final class RequestTable {

    /** The maximum number of outcomes of ended requests. */
    private static final int MAX_ENDED = 4096;

    /** The maximum size of the retained answers, in bytes. */
    private static final long MAX_BYTES = 4L * 1024 * 1024;

    /** The outcomes by request id; complete once the request has ended. */
    private final Map<RequestId, CompletableFuture<ForwardAnswer>> outcomes = new HashMap<>();

    /** The sizes of the answers to ended and barred requests in bytes, oldest first. */
    private final LinkedHashMap<RequestId, Integer> ended = new LinkedHashMap<>();

    /** The highest evicted request number of each entry. */
    private final Map<Incarnation, Long> lastEvicted = new HashMap<>();

    private final int maxEnded;

    /** The total size of the retained answers, in bytes. */
    private long bytes;

    RequestTable() {
        this(MAX_ENDED);
    }

    /**
     * Creates a table.
     *
     * @param maxEnded the maximum number of outcomes of ended requests
     */
    RequestTable(int maxEnded) {
        this.maxEnded = maxEnded;
    }

    /**
     * Adds a request that has been received.
     *
     * @param id the id of the request
     * @return empty if the request may run, and {@link #complete} must be called afterwards; the
     *     reason if it must not run
     */
    synchronized Optional<Rejection> begin(RequestId id) {
        if (outcomes.containsKey(id)) {
            return Optional.of(ended.containsKey(id) ? Rejection.BARRED : Rejection.NOT_KNOWN);
        }
        if (mayBeEvicted(id)) {
            return Optional.of(Rejection.NOT_KNOWN);
        }
        outcomes.put(id, new CompletableFuture<>());
        return Optional.empty();
    }

    /**
     * Records the outcome of a request.
     *
     * @param id the id of the request
     * @param answer the answer
     */
    void complete(RequestId id, ForwardAnswer answer) {
        CompletableFuture<ForwardAnswer> outcome;
        synchronized (this) {
            outcome = outcomes.get(id);
            if (outcome == null || outcome.isDone()) {
                return;
            }
            recordEnd(id, answer.body().length);
        }
        outcome.complete(answer);
    }

    /**
     * Returns the outcome of a request. An id that has not been received yet is barred.
     *
     * @param id the id of the request
     * @param answerIfBarred the answer if the id is barred by this query
     * @return the answer, complete once the request has ended; empty if the outcome is unknown
     */
    synchronized Optional<CompletableFuture<ForwardAnswer>> queryOutcome(
            RequestId id, ForwardAnswer answerIfBarred) {
        CompletableFuture<ForwardAnswer> outcome = outcomes.get(id);
        if (outcome != null) {
            return Optional.of(outcome);
        }
        if (mayBeEvicted(id)) {
            return Optional.empty();
        }
        CompletableFuture<ForwardAnswer> barred = CompletableFuture.completedFuture(answerIfBarred);
        outcomes.put(id, barred);
        recordEnd(id, 0);
        return Optional.of(barred);
    }

    /** The reason why a request must not run. */
    enum Rejection {
        /** The id is barred or its request has ended; the request received now has not run. */
        BARRED,
        /** A request with the id is running or may have been evicted, so the outcome is unknown. */
        NOT_KNOWN
    }

    // -----------------------------------------------------------------------
    private boolean mayBeEvicted(RequestId id) {
        return id.number() <= lastEvicted.getOrDefault(id.entry(), 0L);
    }

    private void recordEnd(RequestId id, int answerBytes) {
        ended.put(id, answerBytes);
        bytes += answerBytes;
        while (ended.size() > maxEnded || bytes > MAX_BYTES && ended.size() > 1) {
            RequestId oldest = ended.keySet().iterator().next();
            bytes -= ended.remove(oldest);
            outcomes.remove(oldest);
            lastEvicted.merge(oldest.entry(), oldest.number(), Math::max);
        }
    }
}
