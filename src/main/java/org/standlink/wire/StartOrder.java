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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.standlink.job.RunId;

/**
 * An order to start a run.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code StartOrder} is thread-safe and immutable.
 *
 * @param run the run
 * @param specification the specification text of the job
 * @param checkpoint the checkpoint to resume from, empty if there is none
 * @param bestEffort whether the run may use only processors that are otherwise idle
 * @param targetMillis the target tail latency of a serving run, in milliseconds, 0 if none
 * @param image the image of the run, empty if not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StartOrder(
        RunId run,
        String specification,
        String checkpoint,
        boolean bestEffort,
        double targetMillis,
        String image) {}
