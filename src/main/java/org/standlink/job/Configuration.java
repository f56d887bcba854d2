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
package org.standlink.job;

import java.util.List;
import java.util.Optional;

/**
 * One version of the operator's configuration: the queues that take jobs.
 *
 * <p>{@code Configuration} is thread-safe and immutable.
 *
 * @param version the version; a higher one replaces a lower one
 * @param queues the queues
 * @param unguardedServices the services whose workers start whatever they are told
 * @param mostBodyBytes the longest body that a caller may send, in bytes
 */
public record Configuration(
        long version,
        List<QueueDefinition> queues,
        List<String> unguardedServices,
        int mostBodyBytes) {

    /** The configuration before the first. */
    public static final Configuration NONE = new Configuration(0, List.of(), List.of(), 0);

    /** The most runs of a task that may fail if its queue is no longer configured. */
    private static final int OTHERWISE_ATTEMPTS = 1;

    /**
     * Finds the queue of a request: the longest prefix of its path on its host.
     *
     * @param host the host, with or without a port
     * @param path the path
     * @return the queue, empty if none takes it
     */
    public Optional<QueueDefinition> findQueue(String host, String path) {
        String name = host == null ? "" : host.split(":", 2)[0];
        QueueDefinition best = null;
        for (QueueDefinition queue : queues) {
            boolean takes = queue.host().equals(name) && path.startsWith(queue.pathPrefix());
            if (takes && (best == null || longer(queue, best))) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name
     * @return the queue, empty if there is none
     */
    public Optional<QueueDefinition> findQueue(String name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }

    /**
     * Gets how many runs of a task may fail.
     *
     * @param name the name of the queue
     * @return the number; one if the queue is no longer configured, no limit as long as no
     *     configuration has been read
     */
    public int getMaxAttempts(String name) {
        int otherwise = isRead() ? OTHERWISE_ATTEMPTS : Integer.MAX_VALUE;
        return findQueue(name).map(QueueDefinition::mostAttempts).orElse(otherwise);
    }

    /**
     * Checks whether this is one that the operator has published.
     *
     * @return false for the one before the first
     */
    public boolean isRead() {
        return version > NONE.version;
    }

    private static boolean longer(QueueDefinition one, QueueDefinition other) {
        return one.pathPrefix().length() > other.pathPrefix().length();
    }
}
