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

import java.util.List;

/** Decides which batch tasks to throttle or stop when a service is likely to miss its target. */
public interface ReliefPolicy {

    /**
     * Decides on the actions that follow from a measurement.
     *
     * @param measurement the measurement
     * @param colocated the tasks on the same VM
     * @return the actions in order, empty if none is needed
     */
    List<ReliefAction> relieve(ServiceMeasurement measurement, List<RunningTask> colocated);
}
