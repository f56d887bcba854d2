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
package org.standlink.log;

import java.util.List;
import org.standlink.CellId;
import org.standlink.Epoch;

/**
 * A batch of task events by the leader of a cell; valid only with the current epoch and a sequence
 * above the last.
 *
 * <p>{@code SubmittedTaskRecord} is thread-safe and immutable.
 *
 * @param id drawn by the writer
 * @param cell the cell
 * @param epoch the epoch of the leader
 * @param sequence the number of the append within the epoch; one that lands after a later one is
 *     void
 * @param events the events, applied in order
 */
public record BundleTaskRecord(
        String id, CellId cell, Epoch epoch, long sequence, List<TaskEvent> events)
        implements LogRecord {}
