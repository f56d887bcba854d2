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

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A run in progress, as listed by its worker.
 *
 * <p>{@code RunProgress} is thread-safe and immutable.
 *
 * @param run the run
 * @param checkpoint the last checkpoint it saved, empty if none
 * @param percent how much of its work is done, 0 to 100
 * @param measurement the measurement of the last half second: the tail latency of a serving task in
 *     milliseconds, the processor usage of any other task in thousandths of a core
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RunProgress(RunId run, String checkpoint, int percent, long measurement) {}
