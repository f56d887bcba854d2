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
package org.standlink.policy;

import org.standlink.TaskId;

/**
 * An action on a task that keeps a service within its target.
 *
 * <p>{@code ReliefAction} is thread-safe and immutable.
 *
 * @param task the task
 * @param throttlePercent the share of its processors that it may use from now on, in percent; 0 to
 *     stop it
 */
public record ReliefAction(TaskId task, int throttlePercent) {}
