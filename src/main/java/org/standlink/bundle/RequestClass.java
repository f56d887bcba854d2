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
package org.standlink.bundle;

import org.standlink.RequestClassId;

/**
 * A class of requests of a service: which requests belong to it and their limits.
 *
 * <p>{@code RequestClass} is thread-safe and immutable.
 *
 * @param id the class
 * @param pathPrefix the prefix of the paths of its requests; the longest matching prefix wins
 * @param methods the HTTP methods that belong to it, empty for all
 * @param repeatable whether a request may be run more than once
 * @param concurrency the largest number of its requests in progress at one entry
 * @param deadlineMillis the longest time that a caller waits, in milliseconds
 * @param targetMillis the latency target at the 99th percentile, in milliseconds
 */
public record RequestClass(
        RequestClassId id,
        String pathPrefix,
        java.util.Set<String> methods,
        boolean repeatable,
        int concurrency,
        long deadlineMillis,
        long targetMillis) {}
