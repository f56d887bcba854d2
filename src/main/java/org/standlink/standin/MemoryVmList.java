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
package org.standlink.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.VmEntry;
import org.standlink.port.VmListPort;

/**
 * A VM list in memory that lists changes only after a delay.
 *
 * <p>{@code MemoryVmList} is thread-safe.
 */
public final class MemoryVmList implements VmListPort {

    private final MonotonicClock clock;

    /** The delay until a change is listed, in milliseconds. */
    private final long delayMillis;

    /** A change that is not listed yet. */
    private record Change(long effectiveAtMillis, VmEntry entry) {}

    /** The changes that are not listed yet, in order. */
    private final List<Change> pendingChanges = new ArrayList<>();

    /** The VMs as listed. */
    private final Map<VmId, VmEntry> listed = new LinkedHashMap<>();

    /** Whether the list rejects all calls. */
    private boolean down;

    /**
     * Creates an empty list.
     *
     * @param clock the clock
     * @param delayMillis the delay until a change is listed, in milliseconds
     */
    public MemoryVmList(MonotonicClock clock, long delayMillis) {
        this.clock = clock;
        this.delayMillis = delayMillis;
    }

    /**
     * Adds or replaces a VM; the change is listed after the delay.
     *
     * @param entry the VM
     */
    public synchronized void put(VmEntry entry) {
        pendingChanges.add(new Change(clock.nowMillis() + delayMillis, entry));
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether the list rejects all calls from now on
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    @Override
    public synchronized List<VmEntry> list() {
        if (down) {
            throw new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the VM list is unavailable",
                    "try again later");
        }
        long now = clock.nowMillis();
        pendingChanges.stream()
                .filter(change -> change.effectiveAtMillis() <= now)
                .forEach(change -> listed.put(change.entry().vm(), change.entry()));
        pendingChanges.removeIf(change -> change.effectiveAtMillis() <= now);
        return List.copyOf(listed.values());
    }
}
