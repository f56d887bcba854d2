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
package org.standlink.job;

import org.standlink.HallId;

/**
 * A request of the operator to evacuate a hall or to end its evacuation.
 *
 * <p>{@code EvacuationChange} is thread-safe and immutable.
 *
 * @param hall the hall
 * @param evacuated true if no more runs may be started there, false if the hall is in use again
 */
public record EvacuationChange(HallId hall, boolean evacuated) {}
