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

/**
 * A queue that takes jobs.
 *
 * <p>{@code QueueDefinition} is thread-safe and immutable.
 *
 * @param name the name
 * @param host the HTTP host that callers name
 * @param pathPrefix the start of the path that callers name
 * @param service the service whose workers run its tasks
 * @param priority 0 comes first
 * @param mostAttempts how many runs of a task may fail
 * @param targetMillis the target of a job beyond its longest chain of work, in milliseconds
 * @param stretch by which factor the longest chain of work counts in the target
 * @param advised whether only workers named by the adviser may run a step
 */
public record QueueDefinition(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int mostAttempts,
        long targetMillis,
        double stretch,
        boolean advised) {}
