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
 * A run that its worker has certainly not started and will not start under this run id.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code StartRefusal} is thread-safe and immutable.
 *
 * @param run the run
 * @param reason why the run was not started, for the log
 * @param unwell whether the worker reported that it is unhealthy
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StartRefusal(RunId run, String reason, boolean unwell) {}
