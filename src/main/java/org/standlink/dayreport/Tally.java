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
package org.standlink.dayreport;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts occurrences by key, with the time that they took. The number of keys is limited; further
 * keys are counted together.
 *
 * <p>{@code Tally} is not thread-safe.
 *
 * @param <K> the type of the keys
 */
final class Tally<K> {

    /** The number of keys; more reasons and causes than this do not fit on a screen. */
    static final int MAX_KEYS = 60;

    private final K otherKey;

    private final Map<K, Row> rows = new LinkedHashMap<>();

    /** The number of occurrences, and how long they took in all, in milliseconds. */
    private record Row(long count, long millis) {}

    /**
     * The occurrences of a key.
     *
     * @param key the key
     * @param count the number of occurrences
     * @param millis how long they took in all, in milliseconds
     */
    record Entry<K>(K key, long count, long millis) {}

    /**
     * Creates an empty tally.
     *
     * @param otherKey the key of occurrences beyond the limit of keys
     */
    Tally(K otherKey) {
        this.otherKey = otherKey;
    }

    /**
     * Adds occurrences.
     *
     * @param key the key
     * @param count the number of occurrences
     * @param millis how long they took in all, in milliseconds
     */
    void add(K key, long count, long millis) {
        boolean fits = rows.containsKey(key) || rows.size() < MAX_KEYS;
        rows.merge(
                fits ? key : otherKey,
                new Row(count, millis),
                (a, b) -> new Row(a.count() + b.count(), a.millis() + b.millis()));
    }

    /**
     * Adds all occurrences of another tally.
     *
     * @param other the other tally
     */
    void addAll(Tally<K> other) {
        other.rows.forEach((key, row) -> add(key, row.count(), row.millis()));
    }

    /** Lists the keys with their occurrences, the most frequent first. */
    List<Entry<K>> list() {
        return rows.entrySet().stream()
                .map(
                        row ->
                                new Entry<>(
                                        row.getKey(),
                                        row.getValue().count(),
                                        row.getValue().millis()))
                .sorted(Comparator.comparingLong((Entry<K> entry) -> entry.count()).reversed())
                .toList();
    }

    /** Gets the number of occurrences of a key. */
    long getCount(K key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.count();
    }

    /** Gets the number of all occurrences. */
    long getTotalCount() {
        return rows.values().stream().mapToLong(Row::count).sum();
    }

    /** Gets how long all occurrences took, in milliseconds. */
    long getTotalMillis() {
        return rows.values().stream().mapToLong(Row::millis).sum();
    }
}
