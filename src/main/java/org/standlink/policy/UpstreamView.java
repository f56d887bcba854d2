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

import org.standlink.VmId;

/**
 * What an entry knows of one upstream when it routes a request.
 *
 * <p>{@code UpstreamView} is thread-safe and immutable.
 *
 * @param vm the VM
 * @param outstanding the number of requests running or queued there as last reported, plus those
 *     sent since
 * @param slots the number of requests that it runs concurrently
 * @param distanceMicros the one-way network latency to its hall, in microseconds
 * @param latencyMicros its mean answer time as measured by the entry, in microseconds; 0 if not
 *     known
 */
public record UpstreamView(
        VmId vm, int outstanding, int slots, long distanceMicros, long latencyMicros) {}
