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
 * The definition of a queue that accepts jobs.
 *
 * <p>{@code QueueDefinition} is thread-safe and immutable.
 *
 * @param name the name
 * @param host the HTTP host of its requests
 * @param pathPrefix the path prefix of its requests
 * @param service the service whose workers run its tasks
 * @param priority the priority; 0 is the highest
 * @param mostAttempts the maximum number of failed runs of a task
 * @param targetMillis the part of a job's target time that does not depend on its critical path, in
 *     milliseconds
 * @param stretch the factor by which the critical path counts in the target time
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
