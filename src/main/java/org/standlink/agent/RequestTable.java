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
 * Which tries of requests this agent has seen, so that "not run" is only said when it is true.
 *
 * <p>A try that is asked about before it was seen is barred: when it arrives after all, it is
 * refused. Old entries are dropped, oldest first; of a dropped id only the highest number of its
 * entry is kept, and whatever is at or below it and not in the table is no longer known.
 *
 * <p>{@code RequestTable} is thread-safe.
 */
final class RequestTable {

    /** The most tries kept, running ones not counted. */
    private static final int MOST_KEPT = 4096;

    /** The most bytes of answers kept. */
    private static final long MOST_BYTES = 4L * 1024 * 1024;

    /** What became of a try; complete when it has ended. */
    private final Map<RequestId, CompletableFuture<ForwardAnswer>> tries = new HashMap<>();

    /** The tries that have ended or are barred, oldest first, with the bytes of their answers. */
    private final LinkedHashMap<RequestId, Integer> ended = new LinkedHashMap<>();

    /** The highest number dropped of each entry. */
    private final Map<Incarnation, Long> dropped = new HashMap<>();

    /** The most tries kept. */
    private final int mostKept;

    /** The bytes of the answers kept. */
    private long bytes;

    /** Constructor. */
    RequestTable() {
        this(MOST_KEPT);
    }

    /**
     * Constructor.
     *
     * @param mostKept the most tries kept, running ones not counted
     */
    RequestTable(int mostKept) {
        this.mostKept = mostKept;
    }

    /**
     * Notes a try that has arrived.
     *
     * @param id the id of the try
     * @return empty if it may run, and then {@link #complete} must follow; else the reason why not
     */
    synchronized Optional<Rejection> begin(RequestId id) {
        if (tries.containsKey(id)) {
            return Optional.of(ended.containsKey(id) ? Rejection.BARRED : Rejection.NOT_KNOWN);
        }
        if (isDropped(id)) {
            return Optional.of(Rejection.NOT_KNOWN);
        }
        tries.put(id, new CompletableFuture<>());
        return Optional.empty();
    }

    /**
     * Notes what became of a try.
     *
     * @param id the id of the try
     * @param answer what became of it
     */
    void complete(RequestId id, ForwardAnswer answer) {
        CompletableFuture<ForwardAnswer> waiting;
        synchronized (this) {
            waiting = tries.get(id);
            if (waiting == null || waiting.isDone()) {
                return;
            }
            keep(id, answer.body().length);
        }
        waiting.complete(answer);
    }

    /**
     * Asks what became of a try; one that was not seen is barred for good.
     *
     * @param id the id of the try
     * @param ifBarred the answer if it has not run and never will
     * @return the answer, complete when the try has ended; empty if it is no longer known
     */
    synchronized Optional<CompletableFuture<ForwardAnswer>> queryOutcome(
            RequestId id, ForwardAnswer ifBarred) {
        CompletableFuture<ForwardAnswer> present = tries.get(id);
        if (present != null) {
            return Optional.of(present);
        }
        if (isDropped(id)) {
            return Optional.empty();
        }
        CompletableFuture<ForwardAnswer> barred = CompletableFuture.completedFuture(ifBarred);
        tries.put(id, barred);
        keep(id, 0);
        return Optional.of(barred);
    }

    /** Why a try may not run. */
    enum Rejection {
        /** It was barred, or has ended: it did not run by this arrival. */
        BARRED,
        /** It is running, or was dropped from the table: what became of it is not known here. */
        NOT_KNOWN
    }

    // -----------------------------------------------------------------------
    private boolean isDropped(RequestId id) {
        return id.number() <= dropped.getOrDefault(id.entry(), 0L);
    }

    private void keep(RequestId id, int length) {
        ended.put(id, length);
        bytes += length;
        while (ended.size() > mostKept || bytes > MOST_BYTES && ended.size() > 1) {
            RequestId oldest = ended.keySet().iterator().next();
            bytes -= ended.remove(oldest);
            tries.remove(oldest);
            dropped.merge(oldest.entry(), oldest.number(), Math::max);
        }
    }
}
