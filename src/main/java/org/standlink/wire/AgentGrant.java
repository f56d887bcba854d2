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
package org.standlink.wire;

import java.util.List;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;
import org.standlink.policy.InterferenceTable;

/**
 * The answer to an {@link AgentReport}, which grants the agent's lease.
 *
 * <p>{@code AgentGrant} is thread-safe and immutable.
 *
 * @param epoch the epoch of the leader
 * @param generation the generation of the agent's lease; orders of an earlier generation are
 *     superseded
 * @param leaseMillis how long the agent may let its workers keep their runs, in milliseconds from
 *     when it sent the report
 * @param storeSilentMillis how long ago the store last accepted a call of the leader, in
 *     milliseconds
 * @param harm the leader's interference estimates of images; empty if they have not changed
 */
public record AgentGrant(
        Epoch epoch,
        LeaseGeneration generation,
        long leaseMillis,
        long storeSilentMillis,
        List<InterferenceTable.Entry> harm)
        implements Message {}
