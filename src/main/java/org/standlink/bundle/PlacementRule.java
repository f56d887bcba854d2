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
package org.standlink.bundle;

import java.util.List;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.ServiceId;

/**
 * A constraint on the placement of a job.
 *
 * <p>{@code PlacementRule} is thread-safe and immutable.
 *
 * @param job the job
 * @param halls the permitted halls, empty for all
 * @param avoidServices services that the job must not share a VM with
 */
public record PlacementRule(JobId job, List<HallId> halls, List<ServiceId> avoidServices) {}
