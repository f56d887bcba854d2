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
import org.standlink.Attempt;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.VmId;

/**
 * The state after all records up to an offset, for readers that start past what was dropped.
 *
 * <p>A reader takes it as the state as of that offset and folds the records after it; so a snapshot
 * that lands late does no harm.
 *
 * <p>{@code SnapshotRecord} is thread-safe and immutable.
 *
 * @param id drawn by the writer
 * @param asOf the offset of the last record covered
 * @param signedBundle the signed bundle in force, null if this snapshot does not carry it
 * @param cell the cell
 * @param epoch the epoch of the cell
 * @param sequence the sequence of the last valid append of the epoch
 * @param leader the leader of the cell, null if none
 * @param incarnation the run of the leader, null if none
 * @param floor the attempt after which the first one of a new task comes
 * @param tasks the tasks of the cell
 */
public record SnapshotRecord(
        String id,
        long asOf,
        String signedBundle,
        CellId cell,
        Epoch epoch,
        long sequence,
        VmId leader,
        Incarnation incarnation,
        Attempt floor,
        List<TaskState> tasks)
        implements LogRecord {}
