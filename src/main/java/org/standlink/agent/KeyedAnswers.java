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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.standlink.Outcome;
import org.standlink.wire.ForwardAnswer;

/**
 * The answers to requests with an idempotency key, kept for the length of the service's window.
 *
 * <p>A second request with the same key gets the answer of the first, also while that one still
 * runs. One whose key stands for a different request is told so.
 *
 * <p>{@code KeyedAnswers} is thread-safe.
 */
final class KeyedAnswers {

    /** The most bytes of answers kept. */
    private static final long MOST_BYTES = 8L * 1024 * 1024;

    /** The bytes counted for a key itself. */
    private static final int BYTES_PER_KEY = 200;

    /** What a key stands for. */
    private static final class Kept {

        /** A digest of the request. */
        private final int fingerprint;

        /** The answer, complete when there is one. */
        private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();

        /** When it may be forgotten, in milliseconds; never while it runs. */
        private long untilMillis = Long.MAX_VALUE;

        /** The bytes counted for it. */
        private long bytes = BYTES_PER_KEY;

        private Kept(int fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** What a request with a key shall do. */
    enum Decision {
        /** Run it, and call {@link #complete} after. */
        RUN,
        /** Take the answer of the first request. */
        REPLAY,
        /** The key stands for a different request. */
        MISMATCH,
        /** There is no room to keep another answer. */
        FULL
    }

    /** The keys. */
    private final Map<String, Kept> keys = new HashMap<>();

    /** The bytes kept. */
    private long bytes;

    /**
     * Decides what a request with a key shall do.
     *
     * @param key the key, with service and team
     * @param fingerprint a digest of the request
     * @param nowMillis the time, in milliseconds
     * @return the verdict
     */
    synchronized Decision begin(String key, int fingerprint, long nowMillis) {
        Kept present = keys.get(key);
        if (present != null && nowMillis >= present.untilMillis) {
            drop(key);
            present = null;
        }
        if (present != null) {
            return present.fingerprint == fingerprint ? Decision.REPLAY : Decision.MISMATCH;
        }
        if (bytes >= MOST_BYTES) {
            dropOld(nowMillis);
        }
        if (bytes >= MOST_BYTES) {
            return Decision.FULL;
        }
        keys.put(key, new Kept(fingerprint));
        bytes += BYTES_PER_KEY;
        return Decision.RUN;
    }

    /**
     * Gets the answer that a key stands for.
     *
     * @param key the key, with service and team
     * @return the answer, complete when there is one; empty if the key is gone
     */
    synchronized Optional<CompletableFuture<ForwardAnswer>> get(String key) {
        return Optional.ofNullable(keys.get(key)).map(kept -> kept.answer);
    }

    /**
     * Notes what became of the request that runs under a key.
     *
     * @param key the key, with service and team
     * @param answer what became of it; after "not run" the key is free again
     * @param untilMillis when the answer may be forgotten, in milliseconds
     */
    void complete(String key, ForwardAnswer answer, long untilMillis) {
        Kept kept;
        synchronized (this) {
            kept = keys.get(key);
            if (kept == null) {
                return;
            }
            if (answer.outcome() == Outcome.NOT_RUN) {
                drop(key);
            } else {
                kept.untilMillis = untilMillis;
                kept.bytes += answer.body().length;
                bytes += answer.body().length;
            }
        }
        kept.answer.complete(answer);
    }

    // -----------------------------------------------------------------------
    private void drop(String key) {
        Kept kept = keys.remove(key);
        if (kept != null) {
            bytes -= kept.bytes;
        }
    }

    private void dropOld(long nowMillis) {
        keys.entrySet().stream()
                .filter(entry -> nowMillis >= entry.getValue().untilMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::drop);
    }
}
