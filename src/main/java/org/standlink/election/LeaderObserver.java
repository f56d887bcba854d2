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
package org.standlink.election;

/**
 * Receives what a process observes of the leader.
 *
 * <p>Implementations must be thread-safe.
 */
public interface LeaderObserver {

    /**
     * Called when the leader has answered.
     *
     * @param storeSilentMillis how long ago the store last accepted a call of the leader, in
     *     milliseconds
     */
    void leaderAnswered(long storeSilentMillis);

    /**
     * Called when no process leads at the leader's address: it refuses connections, or the process
     * there reports that it does not lead.
     */
    void leaderAbsent();
}
