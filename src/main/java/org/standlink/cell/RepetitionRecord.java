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
package org.standlink.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The stored record of a repetition that has been started and is not finished.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code RepetitionRecord} is thread-safe and immutable.
 *
 * @param number the number of the repetition, from 0
 * @param tasks the tasks, in the order of step and index; empty if none has been started
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record RepetitionRecord(int number, List<SubmittedTaskRecord> tasks) {}
