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

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.standlink.HallId;
import org.standlink.Resources;

/**
 * The description of a worker, as sent in its heartbeats.
 *
 * <p>{@code WorkerDescription} is thread-safe and immutable.
 *
 * @param incarnation the incarnation of the worker
 * @param service the service whose queues the worker may run tasks of
 * @param address the address that accepts calls, host and port
 * @param capacity the total resources of the worker
 * @param hall the hall of the worker
 * @param labels the labels of the worker, such as its kind and rack
 * @param draining whether the worker is about to leave
 * @param remainingMillis if draining, the minimum time until it leaves, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkerDescription(
        WorkerIncarnation incarnation,
        String service,
        String address,
        Resources capacity,
        HallId hall,
        List<String> labels,
        boolean draining,
        long remainingMillis) {}
