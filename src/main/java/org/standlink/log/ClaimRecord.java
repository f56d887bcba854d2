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

import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.VmId;

/**
 * A claim of leadership; valid only with the epoch after the last one.
 *
 * <p>{@code ClaimRecord} is thread-safe and immutable.
 *
 * @param id drawn by the writer
 * @param cell the cell
 * @param epoch the epoch claimed
 * @param leader the VM of the claimant
 * @param incarnation the run of the claimant
 */
public record ClaimRecord(String id, CellId cell, Epoch epoch, VmId leader, Incarnation incarnation)
        implements LogRecord {}
