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

/**
 * Receives notice that a leader of this process has ended.
 *
 * <p>It is called on the leader's event loop.
 */
@FunctionalInterface
public interface LeaderEndListener {

    /**
     * Called when the leader cannot be sure to be the only one any more. Not every such sign proves
     * that there is a newer claim: the outcome of an append may be unknown for good.
     */
    void leaderDeposed();

    /**
     * Called when the leader has ended itself because its work failed. Nobody leads until the
     * leadership is resigned or the leader is found unresponsive.
     */
    default void leaderFailed() {
        leaderDeposed();
    }
}
