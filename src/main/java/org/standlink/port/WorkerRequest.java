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
package org.standlink.port;

import org.standlink.Attempt;
import org.standlink.TaskId;

/**
 * The body of a call to a worker that concerns a task.
 *
 * <p>{@code WorkerRequest} is thread-safe and immutable.
 *
 * @param lease the lease under which the call is made
 * @param start the attempt to start, null for other calls
 * @param task the task, null for a start
 * @param attempt the attempt, null for a start or a throttle
 * @param percent the share of its processors that the task may use, in percent; 0 for calls other
 *     than a throttle
 */
public record WorkerRequest(
        WorkerLease lease, TaskStart start, TaskId task, Attempt attempt, int percent) {}
