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

import java.util.Map;
import java.util.Set;
import org.standlink.TaskId;

/**
 * The result of one planning round.
 *
 * <p>{@code PlanningResult} is thread-safe and immutable.
 *
 * @param placements the decisions on the tasks that are assigned to workers
 * @param waiting why each of the other tasks waits
 * @param evictions the tasks to checkpoint and stop, to free capacity for urgent ones
 */
public record PlanningResult(
        Map<TaskId, PlacementDecision> placements,
        Map<TaskId, String> waiting,
        Set<TaskId> evictions) {}
