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
import org.standlink.ServiceId;

/**
 * The load and latency of a service on one VM, measured by the agent on that VM.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code ServiceReport} is thread-safe and immutable.
 *
 * @param service the service
 * @param level the load level, from 0 for idle to 3 for full
 * @param latencyPercent the tail latency of the last seconds, in percent of the target
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServiceReport(ServiceId service, int level, int latencyPercent) {}
