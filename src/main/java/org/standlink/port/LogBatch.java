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
package org.standlink.port;

import java.util.List;

/**
 * A contiguous sequence of records from the log.
 *
 * <p>{@code LogBatch} is thread-safe and immutable.
 *
 * @param firstRetained the offset of the oldest record that the log retains
 * @param end the offset of the next record to be appended
 * @param entries the records, in ascending order of offset and without gaps
 */
public record LogBatch(long firstRetained, long end, List<LogEntry> entries) {}
