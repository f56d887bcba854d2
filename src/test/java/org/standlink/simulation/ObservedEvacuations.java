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
package org.standlink.simulation;

import org.standlink.job.EvacuatedHalls;

/** The newest evacuated halls that a process has read so far. */
final class ObservedEvacuations {

    private long newestNumber;
    private EvacuatedHalls evacuatedHalls = EvacuatedHalls.NONE;

    /** Receives a version of the evacuated halls; versions older than the newest are ignored. */
    void receive(long number, EvacuatedHalls halls) {
        if (number > newestNumber) {
            newestNumber = number;
            evacuatedHalls = halls;
        }
    }

    EvacuatedHalls getEvacuatedHalls() {
        return evacuatedHalls;
    }
}
