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
import org.standlink.Resources;
import org.standlink.TaskId;

/**
 * A request to a worker to start an attempt of a task.
 *
 * <p>{@code TaskStart} is thread-safe and immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param resources the resources that the attempt may use
 * @param runSeconds the declared run time, in seconds
 * @param checkpoint the checkpoint to resume from, null to start from the beginning
 */
public record TaskStart(
        TaskId task, Attempt attempt, Resources resources, long runSeconds, String checkpoint) {}
