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
 * The answers to requests with an idempotency key, retained for the service's key window.
 *
 * <p>A second request with the same key receives the answer to the first, also if that one is still
 * running. A different request with the same key is rejected.
 *
 * <p>{@code KeyedAnswers} is thread-safe.
 */
final class KeyedAnswers {

    /** The maximum size of the retained answers, in bytes. */
    private static final long MAX_BYTES = 8L * 1024 * 1024;

    /** The assumed size of a key without an answer, in bytes. */
    private static final int BYTES_PER_KEY = 200;

    /** The request with a key, and its answer. */
    private static final class Entry {

        /** A hash of the request. */
        private final int fingerprint;

        /** The answer; complete once the request has ended. */
        private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();

        /** When the entry expires, in milliseconds; never while the request is running. */
        private long expiryMillis = Long.MAX_VALUE;

        /** The size of the key and the answer, in bytes. */
        private long bytes = BYTES_PER_KEY;

        private Entry(int fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** How a request with a key is handled. */
    enum Decision {
        /** The request is run, and {@link #complete} must be called afterwards. */
        RUN,
        /** The request receives the answer to the first one. */
        REPLAY,
        /** The key belongs to a different request. */
        MISMATCH,
        /** There is no space for another answer. */
        FULL
    }

    /** The entries by key. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The total size of the entries, in bytes. */
    private long bytes;

    /**
     * Decides how a request with a key is handled, and adds the key if it is new.
     *
     * @param key the key, with service and team
     * @param fingerprint a hash of the request
     * @param nowMillis the current time, in milliseconds
     * @return the decision
     */
    synchronized Decision begin(String key, int fingerprint, long nowMillis) {
        Entry entry = entries.get(key);
        if (entry != null && nowMillis >= entry.expiryMillis) {
            remove(key);
            entry = null;
        }
        if (entry != null) {
            return entry.fingerprint == fingerprint ? Decision.REPLAY : Decision.MISMATCH;
        }
        if (bytes >= MAX_BYTES) {
            removeExpired(nowMillis);
        }
        if (bytes >= MAX_BYTES) {
            return Decision.FULL;
        }
        entries.put(key, new Entry(fingerprint));
        bytes += BYTES_PER_KEY;
        return Decision.RUN;
    }

    /**
     * Gets the answer to the request with a key.
     *
     * @param key the key, with service and team
     * @return the answer, complete once the request has ended; empty if the key is not present
     */
    synchronized Optional<CompletableFuture<ForwardAnswer>> get(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.answer);
    }

    /**
     * Records the answer to the running request with a key. The key is removed if the request did
     * not run, so that it can be used again.
     *
     * @param key the key, with service and team
     * @param answer the answer
     * @param expiryMillis when the answer expires, in milliseconds
     */
    void complete(String key, ForwardAnswer answer, long expiryMillis) {
        Entry entry;
        synchronized (this) {
            entry = entries.get(key);
            if (entry == null) {
                return;
            }
            if (answer.outcome() == Outcome.NOT_RUN) {
                remove(key);
            } else {
                entry.expiryMillis = expiryMillis;
                entry.bytes += answer.body().length;
                bytes += answer.body().length;
            }
        }
        entry.answer.complete(answer);
    }

    // -----------------------------------------------------------------------
    private void remove(String key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            bytes -= entry.bytes;
        }
    }

    private void removeExpired(long nowMillis) {
        entries.entrySet().stream()
                .filter(entry -> nowMillis >= entry.getValue().expiryMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
    }
}
