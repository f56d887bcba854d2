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
import org.standlink.BundleVersion;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;

/**
 * The answer of a leader to a heartbeat, which grants the node lease.
 *
 * <p>{@code HeartbeatAnswer} is thread-safe and immutable.
 *
 * @param epoch the epoch of the leader
 * @param generation the generation of the granted lease
 * @param grantedMillis the length of the lease, in milliseconds from when the heartbeat was sent
 * @param bundle the bundle version in force
 * @param signedBundle the text of the signed bundle, null if the agent has this version
 * @param revision the revision of the assignments
 * @param assignments all assignments of the agent, null if the agent has this revision
 * @param logAgeMillis how long ago the leader last read the log, in milliseconds
 */
public record HeartbeatAnswer(
        Epoch epoch,
        LeaseGeneration generation,
        long grantedMillis,
        BundleVersion bundle,
        String signedBundle,
        long revision,
        List<Assignment> assignments,
        long logAgeMillis)
        implements Message {}
