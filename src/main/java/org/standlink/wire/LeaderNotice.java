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

import java.util.Objects;
import org.standlink.Epoch;

/**
 * Names the leader. A process that does not lead answers with it, and a leader announces itself
 * with it.
 *
 * <p>{@code LeaderNotice} is thread-safe and immutable.
 *
 * @param epoch the newest known epoch
 * @param address the address at which its leader listens, host and port; empty if not known
 */
public record LeaderNotice(Epoch epoch, String address) implements Message {

    // Explicit, since the JDK generates the methods of records from method handles when they are
    // first called, which takes milliseconds of every start.
    @Override
    public boolean equals(Object object) {
        return object instanceof LeaderNotice other
                && Objects.equals(epoch, other.epoch)
                && Objects.equals(address, other.address);
    }

    @Override
    public int hashCode() {
        return 31 * Objects.hashCode(epoch) + Objects.hashCode(address);
    }
}
