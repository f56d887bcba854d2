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
 * One version of the operator's configuration of job queues.
 *
 * <p>{@code Configuration} is thread-safe and immutable.
 *
 * @param version the version; a higher one replaces a lower one
 * @param queues the queues that accept jobs
 * @param unguardedServices the services whose workers do not enforce their capacity and start every
 *     run that they are ordered to start
 * @param mostBodyBytes the maximum size of a request body, in bytes
 */
public record Configuration(
        long version,
        List<QueueDefinition> queues,
        List<String> unguardedServices,
        int mostBodyBytes) {

    /** The configuration in force before any has been published. */
    public static final Configuration NONE = new Configuration(0, List.of(), List.of(), 0);

    /**
     * Finds the queue of a request: the one with the longest path prefix among those of its host.
     *
     * @param host the host, with or without a port; null if the request names none
     * @param path the path
     * @return the queue, empty if none matches
     */
    public Optional<QueueDefinition> findQueue(String host, String path) {
        String hostName = host == null ? "" : host.split(":", 2)[0];
        QueueDefinition best = null;
        for (QueueDefinition queue : queues) {
            boolean matches = queue.host().equals(hostName) && path.startsWith(queue.pathPrefix());
            if (matches && (best == null || hasLongerPrefix(queue, best))) {
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
     * Gets the maximum number of failed runs of a task of a queue.
     *
     * @param name the name of the queue
     * @return the maximum; no limit if the queue is not known, since nothing of it is started then
     */
    public int getMaxAttempts(String name) {
        return findQueue(name).map(QueueDefinition::mostAttempts).orElse(Integer.MAX_VALUE);
    }

    /**
     * Checks whether this is a configuration that the operator has published.
     *
     * @return false for the configuration in force before any has been published
     */
    public boolean isRead() {
        return version > NONE.version;
    }

    private static boolean hasLongerPrefix(QueueDefinition one, QueueDefinition other) {
        return one.pathPrefix().length() > other.pathPrefix().length();
    }
}
