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
 * The end of a run, as listed by its worker until the leader has acknowledged that it is recorded.
 *
 * <p>{@code RunEnd} is thread-safe and immutable.
 *
 * @param number the sequence number of the end in the worker's incarnation, from 1
 * @param run the run
 * @param kind how it ended
 * @param checkpoint the checkpoint it saved, empty if none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RunEnd(long number, RunId run, RunEndKind kind, String checkpoint) {}
