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
package org.standlink.agent;

import java.util.List;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;
import org.standlink.wire.TaskReport;

/**
 * The state of an agent's tasks after a tick of the {@link TaskSupervisor}.
 *
 * <p>{@code SupervisorReport} is thread-safe and immutable.
 *
 * @param epoch the epoch of the grant that was applied
 * @param generation the lease generation of that grant
 * @param revision the revision of the assignments of that grant
 * @param workerReady whether the node lease and the worker lease were live and the worker answered
 * @param tasks the states of the tasks
 */
public record SupervisorReport(
        Epoch epoch,
        LeaseGeneration generation,
        long revision,
        boolean workerReady,
        List<TaskReport> tasks) {

    /** The report before the first tick. */
    static final SupervisorReport NONE =
            new SupervisorReport(Epoch.NONE, LeaseGeneration.NONE, 0, false, List.of());
}
